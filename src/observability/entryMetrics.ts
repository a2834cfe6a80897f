/**
 * Counters, gauges and histograms of an entry host, served in the Prometheus text format.
 *
 * @module
 */
// The package's index loads a push gateway and a cluster of processes as well.
import Counter from "prom-client/lib/counter.js";
import Gauge from "prom-client/lib/gauge.js";
import Histogram from "prom-client/lib/histogram.js";
import Registry from "prom-client/lib/registry.js";
import { BoundedLabels } from "./_boundedLabels.js";

const LATENCY_BUCKETS_SECONDS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 4, 8, 16, 32];
const PREFIX = "flamingospread_";

/** More accounts are counted together, since each label value is kept for as long as the process runs. */
const MAXIMUM_ACCOUNTS = 64;

const COUNTERS = {
    requests: { help: "Requests read from callers.", labels: ["kind"] },
    overlapping_requests: {
        help: "Requests that arrived on a connection before the answer to the one before was over.",
        labels: [],
    },
    endings: { help: "Requests by how they ended.", labels: ["kind", "outcome"] },
    refusals: { help: "Requests refused as not run, by reason.", labels: ["reason"] },
    account_requests: { help: "Requests of accounts by how they ended.", labels: ["account", "outcome"] },
    account_refusals: {
        help: "Requests refused for their account: over its quota, or with a key that was removed while they waited.",
        labels: ["account", "reason"],
    },
    account_tokens: {
        help: "Tokens of requests that were admitted, and those returned since no upstream ran the request.",
        labels: ["account", "outcome"],
    },
    early_refusals: {
        help: "Requests refused although they could have waited longer, by reason.",
        labels: ["reason"],
    },
    failures: { help: "Requests that failed without a promise, by reason.", labels: ["reason"] },
    answers_passed_on: {
        help: "Answers that were not buffered whole before their callers got the first part, by reason.",
        labels: ["reason"],
    },
    answer_pauses: {
        help: "Times that an upstream was not read on until the caller of its answer had read.",
        labels: ["kind"],
    },
    attempts: { help: "Attempts on upstreams.", labels: ["service"] },
    repeats: { help: "Further attempts of a request, by the failure before.", labels: ["reason"] },
    repeats_denied: { help: "Further attempts that the shared budget had no room for.", labels: ["service"] },
    broken_answers: {
        help: "Answers that were broken and not taken, by what they were read for and what was wrong with them.",
        labels: ["reader", "fault"],
    },
    attempt_failures: { help: "Failed attempts by reason.", labels: ["reason"] },
    store_calls: { help: "Calls on the key-value service by outcome.", labels: ["call", "outcome"] },
    uncaught_errors: { help: "Errors that nothing handled; the host went on.", labels: ["origin"] },
    read_gaps: {
        help: "Times that this host read nothing for so long that its view may have been too old.",
        labels: [],
    },
    view_confirmations: {
        help: "Questions whether the view of the key-value service is current, by outcome.",
        labels: ["outcome"],
    },
    engine_orders: { help: "Orders to engines by outcome.", labels: ["operation", "kind", "outcome"] },
    holder_changes: { help: "Engines whose orders this host took over or gave up.", labels: ["change"] },
    upstream_pauses: { help: "Pauses that upstreams asked for when they turned requests away.", labels: ["outcome"] },
    hedges_cancelled: {
        help:
            "Attempts beside a silent one that were cancelled, by reason: the silence ended, or the hedge was silent.",
        labels: ["reason"],
    },
    health_probes: { help: "Health checks of upstreams, by outcome.", labels: ["outcome"] },
    crash_convictions: { help: "Convictions of what crashes upstreams, made or lifted.", labels: ["change"] },
    upstream_limits: { help: "Changes of the rate limits that upstreams name.", labels: ["outcome"] },
    rejection_tolerances: {
        help: "Changes of the rejections a second that upstreams tolerate.",
        labels: ["outcome"],
    },
    limit_permits: {
        help: "Permits for upstreams that name a rate limit, received and used by this host.",
        labels: ["outcome"],
    },
    limit_moves: {
        help: "Attempts sent elsewhere than to an upstream whose rate limit had no room.",
        labels: ["service"],
    },
    resumptions: {
        help: "Streams that callers resumed, by how the version that began them was found.",
        labels: ["outcome"],
    },
    partitions: {
        help: "Times that this host reached no upstream although others did, begun and ended.",
        labels: ["change"],
    },
    version_changes: { help: "Changes of the record of the versions at which streams may have begun.", labels: [] },
    upstream_changes: {
        help: "Changes of the upstreams in view, and announcements that name none.",
        labels: ["change"],
    },
    store_restores: {
        help:
            "Times that the key-value service came back from an older copy of itself, by whether this host held engines.",
        labels: ["holder"],
    },
    gossip_datagrams: { help: "Datagrams between hosts.", labels: ["direction"] },
    sent_datagrams: {
        help: "Datagrams sent to other hosts, by the type of their message.",
        labels: ["type"],
    },
    sent_datagram_bytes: {
        help: "Bytes of the datagrams sent to other hosts, by the type of their message.",
        labels: ["type"],
    },
    received_datagrams: {
        help: "Datagrams received from other hosts, by the type of their message.",
        labels: ["type"],
    },
    received_datagram_bytes: {
        help: "Bytes of the datagrams received from other hosts, by the type of their message.",
        labels: ["type"],
    },
    dropped_datagrams: {
        help: "Datagrams of other hosts that were received and dropped because others waited, by reason.",
        labels: ["reason"],
    },
    gossip_problems: {
        help: "Datagrams that were skipped or not sent.",
        labels: ["reason", "peer"],
    },
    address_answers: { help: "Answers to callers that ask for addresses.", labels: ["outcome"] },
    moves: {
        help: "Moves of weights: planned or given up by this host as the planner, begun or refused as a holder.",
        labels: ["outcome"],
    },
    last_copies_dropped: {
        help: "Models whose last copy, as far as this host was told, was dropped for another.",
        labels: [],
    },
    spent_seconds: {
        help:
            "Time that this host has spent by subject: planning, datagrams-read, datagrams-sent, and of datagrams-read by type.",
        labels: ["subject"],
    },
} as const;

const GAUGES = {
    configuration_version: { help: "Version of the configuration in force; 0 for none." },
    store_silence_seconds: { help: "Time since the key-value service answered last." },
    upstreams: { help: "Upstreams in view." },
    brittle_upstreams: { help: "Upstreams that name how few rejections they tolerate." },
    limited_upstreams: { help: "Upstreams that name a rate limit." },
    requests_open: { help: "Requests being served." },
    machine_memory_bytes: { help: "Memory beyond which the process is killed, from the settings." },
    resident_memory_bytes: { help: "Resident memory of the process." },
    engines_held: { help: "Engines that this host gives orders to." },
    cells: { help: "Cells that the fleet is divided into." },
    cell_hosts: { help: "Hosts of this host's cell." },
    other_cells_age_seconds: { help: "Time since this host heard of the other cells; 0 in a fleet of one cell." },
    peers_heard: { help: "Hosts heard in the last seconds." },
    prompt_bound_tokens: { help: "Unread prompt tokens up to which an engine is sent another prompt." },
    predicted_prefill_seconds: {
        help:
            "Mean prefill time that was predicted for streams at upstreams that report how fast they work; 0 without any.",
    },
    measured_first_event_seconds: {
        help: "Mean time to the first event of the same streams, from when they were sent; 0 without any.",
    },
    read_tokens_per_millisecond: { help: "Prompt tokens that an engine reads in a millisecond; 0 while not known." },
} as const;

/** Gauges with one value for each value of a label. */
const GAUGES_BY_LABEL = {
    reserved_memory_bytes: {
        help: "Memory that is reserved of the host's budget, by what it is reserved for.",
        label: "use",
    },
    quota_use: {
        help:
            "Part of its quota that an account uses over all hosts, 1 for all of it; at most 64 accounts are named, `other` is the largest of the rest.",
        label: "account",
    },
    hosts_by_build: {
        help: "Hosts of this host's cell by build, itself included; `earlier` tells no build.",
        label: "build",
    },
} as const;

const HISTOGRAMS = {
    first_byte_seconds: { help: "From a request's arrival to the first byte of its answer.", labels: ["kind"] },
    answer_seconds: { help: "From a request's arrival to the end of its answer.", labels: ["kind"] },
    wait_ratio: {
        help: "Wait of requests that were sent after one, as a multiple of the wait expected at its begin.",
        labels: [],
    },
    residency_wait_seconds: { help: "Time that requests waited for a model or adapter.", labels: ["outcome"] },
} as const;

/** Name of a counter. */
export type CounterName = keyof typeof COUNTERS;

/** Name of a gauge. */
export type GaugeName = keyof typeof GAUGES;

/** Name of a gauge with a label. */
export type GaugeByLabelName = keyof typeof GAUGES_BY_LABEL;

/** Name of a histogram. */
export type HistogramName = keyof typeof HISTOGRAMS;

/** Records the measurements of an entry host. */
export interface EntryMetrics {
    count<Name extends CounterName>(
        name: Name,
        labels: Readonly<Record<(typeof COUNTERS)[Name]["labels"][number], string>>,
    ): void;
    /** Adds to a counter. */
    add<Name extends CounterName>(
        name: Name,
        labels: Readonly<Record<(typeof COUNTERS)[Name]["labels"][number], string>>,
        amount: number,
    ): void;
    /** Adds to the time spent on a subject, in `spent_seconds`. */
    spend(subject: string, milliseconds: number): void;
    gauge(name: GaugeName, value: number): void;
    /** Replaces all values of a gauge with a label. */
    gaugeByLabel(name: GaugeByLabelName, values: ReadonlyMap<string, number>): void;
    observe<Name extends HistogramName>(
        name: Name,
        milliseconds: number,
        labels: Readonly<Record<(typeof HISTOGRAMS)[Name]["labels"][number], string>>,
    ): void;
    /** Renders all metrics in the Prometheus text exposition format. */
    render(): Promise<string>;
}

/** Returns the full name, type, help text and labels of every metric, to compare with the reference page. */
export function listEntryMetrics(): readonly {
    readonly name: string;
    readonly type: string;
    readonly help: string;
    readonly labels: readonly string[];
}[] {
    const counters = Object.entries(COUNTERS).map(([name, { help, labels }]) => ({
        name: `${PREFIX}${name}_total`,
        type: "counter",
        help,
        labels,
    }));
    const gauges = Object.entries(GAUGES).map(([name, { help }]) => ({
        name: `${PREFIX}${name}`,
        type: "gauge",
        help,
        labels: [],
    }));
    const gaugesByLabel = Object.entries(GAUGES_BY_LABEL).map(([name, { help, label }]) => ({
        name: `${PREFIX}${name}`,
        type: "gauge",
        help,
        labels: [label],
    }));
    const histograms = Object.entries(HISTOGRAMS).map(([name, { help, labels }]) => ({
        name: `${PREFIX}${name}`,
        type: "histogram",
        help,
        labels,
    }));
    return [...counters, ...gauges, ...gaugesByLabel, ...histograms];
}

/** Returns the highest of the values that share a label. */
function boundedMaxima(
    values: ReadonlyMap<string, number>,
    boundLabel: (label: string) => string,
): ReadonlyMap<string, number> {
    const maxima = new Map<string, number>();
    values.forEach((value, key) => {
        const label = boundLabel(key);
        maxima.set(label, Math.max(value, maxima.get(label) ?? value));
    });
    return maxima;
}

/**
 * Creates the metrics of one entry host, in a registry of their own.
 *
 * @example
 * ```ts
 * const metrics = createEntryMetrics();
 * metrics.count("refusals", { reason: "all-full" });
 * console.log(await metrics.render());
 * ```
 */
export function createEntryMetrics(): EntryMetrics {
    const registry = new Registry();
    const registers = [registry];
    const accounts = new BoundedLabels(MAXIMUM_ACCOUNTS);
    const counters = new Map<string, Counter>();
    const gauges = new Map<string, Gauge>();
    const histograms = new Map<string, Histogram>();
    for (const [name, { help, labels }] of Object.entries(COUNTERS)) {
        counters.set(name, new Counter({ name: `${PREFIX}${name}_total`, help, labelNames: [...labels], registers }));
    }
    for (const [name, { help }] of Object.entries(GAUGES)) {
        gauges.set(name, new Gauge({ name: `${PREFIX}${name}`, help, registers }));
    }
    for (const [name, { help, label }] of Object.entries(GAUGES_BY_LABEL)) {
        gauges.set(name, new Gauge({ name: `${PREFIX}${name}`, help, labelNames: [label], registers }));
    }
    for (const [name, { help, labels }] of Object.entries(HISTOGRAMS)) {
        const buckets = LATENCY_BUCKETS_SECONDS;
        histograms.set(
            name,
            new Histogram({ name: `${PREFIX}${name}`, help, labelNames: [...labels], buckets, registers }),
        );
    }
    return {
        count: (name, labels) => counters.get(name)?.inc(accounts.bound(labels)),
        add: (name, labels, amount) => counters.get(name)?.inc(accounts.bound(labels), amount),
        spend: (subject, milliseconds) => counters.get("spent_seconds")?.inc({ subject }, milliseconds / 1_000),
        gauge: (name, value) => gauges.get(name)?.set(value),
        gaugeByLabel: (name, values) => {
            gauges.get(name)?.reset();
            const { label } = GAUGES_BY_LABEL[name];
            boundedMaxima(values, key => accounts.bound({ [label]: key })[label] ?? key).forEach((value, key) =>
                gauges.get(name)?.set({ [label]: key }, value)
            );
        },
        observe: (name, milliseconds, labels) => histograms.get(name)?.observe(labels, milliseconds / 1_000),
        render: () => registry.metrics(),
    };
}
