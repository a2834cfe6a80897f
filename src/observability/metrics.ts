/**
 * Counters, timings and gauges of a host, sent as StatsD packets if the settings name a receiver.
 *
 * Totals of counters and last values of gauges are also kept for `status`.
 *
 * @module
 */
import { StatsD } from "hot-shots";
import { type Settings } from "../generated/settings.js";
import { type MetricName, METRICS } from "./metricNames.js";

const METRIC_PREFIX = "flamingospread.";

/** Tags of one measurement. */
export type MetricTags = Readonly<Record<string, string>>;

/** Records measurements. */
export interface Metrics {
    increment(name: MetricName, tags?: MetricTags): void;
    timing(name: MetricName, milliseconds: number, tags?: MetricTags): void;
    gauge(name: MetricName, value: number, tags?: MetricTags): void;
    /** Returns the totals of counters and the last values of gauges, by name. */
    totals(): Readonly<Record<string, number>>;
    close(): Promise<void>;
}

function createStatsDClient(receiver: Settings["metrics"], host: string): StatsD | undefined {
    if (receiver === undefined) {
        return undefined;
    }
    return new StatsD({
        host: receiver.address,
        port: receiver.port,
        prefix: METRIC_PREFIX,
        globalTags: { host },
        errorHandler: () => undefined,
    });
}

function requireListed(name: string): void {
    if (METRICS[name] === undefined) {
        throw new Error(`metric ${name} is not listed in METRICS`);
    }
}

/**
 * Creates the metrics of one host.
 *
 * @param receiver Address of the StatsD receiver; without one, totals are kept and nothing is sent.
 * @param host Name of the host, a tag on every packet.
 * @throws Its methods throw for a name that `METRICS` does not list, which is a programming error.
 *
 * @example
 * ```ts
 * const metrics = createMetrics({ address: "127.0.0.1", port: 8125 }, "entry-1");
 * metrics.increment("refusals.queue-full");
 * ```
 */
export function createMetrics(receiver: Settings["metrics"], host: string): Metrics {
    const statsD = createStatsDClient(receiver, host);
    const totals = new Map<string, number>();
    return {
        increment(name, tags = {}) {
            requireListed(name);
            totals.set(name, (totals.get(name) ?? 0) + 1);
            statsD?.increment(name, 1, { ...tags });
        },
        timing(name, milliseconds, tags = {}) {
            requireListed(name);
            statsD?.timing(name, milliseconds, { ...tags });
        },
        gauge(name, value, tags = {}) {
            requireListed(name);
            totals.set(name, value);
            statsD?.gauge(name, value, { ...tags });
        },
        totals: () => Object.fromEntries([...totals].sort(([left], [right]) => left < right ? -1 : 1)),
        close: () =>
            new Promise(resolve => {
                if (statsD === undefined) {
                    resolve();
                    return;
                }
                statsD.close(() => resolve());
            }),
    };
}
