/**
 * Counters, timings and gauges: sent as StatsD packets where settings name a receiver, and kept for `status`.
 *
 * @module
 */
import { StatsD } from "hot-shots";
import { type Settings } from "../generated/settings.js";
import { type MetricName, METRICS } from "./metricNames.js";

const METRIC_PREFIX = "flamingospread.";

/** Tags of one measurement. */
export type MetricTags = Readonly<Record<string, string>>;

/** Takes measurements. */
export interface Metrics {
    increment(name: MetricName, tags?: MetricTags): void;
    timing(name: MetricName, milliseconds: number, tags?: MetricTags): void;
    gauge(name: MetricName, value: number, tags?: MetricTags): void;
    /** Totals of counters and last values of gauges, by name. */
    totals(): Readonly<Record<string, number>>;
    close(): Promise<void>;
}

function createSender(receiver: Settings["metrics"], host: string): StatsD | undefined {
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

function requireDefined(name: string): void {
    if (METRICS[name] === undefined) {
        throw new Error(`metric ${name} is not in the list of metric names`);
    }
}

/**
 * Creates the metrics of one host.
 *
 * @param receiver Where StatsD packets go; without it totals are kept and nothing is sent.
 * @param host Name of the host, a tag on every packet.
 * @throws Its methods throw for a name that `METRICS` does not list: a broken invariant.
 *
 * @example
 * ```ts
 * const metrics = createMetrics({ address: "127.0.0.1", port: 8125 }, "entry-1");
 * metrics.increment("refusals.queue-full");
 * ```
 */
export function createMetrics(receiver: Settings["metrics"], host: string): Metrics {
    const sender = createSender(receiver, host);
    const totals = new Map<string, number>();
    return {
        increment(name, tags = {}) {
            requireDefined(name);
            totals.set(name, (totals.get(name) ?? 0) + 1);
            sender?.increment(name, 1, { ...tags });
        },
        timing(name, milliseconds, tags = {}) {
            requireDefined(name);
            sender?.timing(name, milliseconds, { ...tags });
        },
        gauge(name, value, tags = {}) {
            requireDefined(name);
            totals.set(name, value);
            sender?.gauge(name, value, { ...tags });
        },
        totals: () => Object.fromEntries([...totals].sort(([left], [right]) => left < right ? -1 : 1)),
        close: () =>
            new Promise(resolve => {
                if (sender === undefined) {
                    resolve();
                    return;
                }
                sender.close(() => resolve());
            }),
    };
}
