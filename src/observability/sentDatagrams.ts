/**
 * Adds up the datagrams that a host sends to its peers: how many, and of which size.
 *
 * @module
 */
import { type EntryMetrics } from "./entryMetrics.js";
import { type LogFields } from "./logger.js";

const BYTES_PER_KILOBYTE = 1_024;

/** A message that was sent to one or more peers. */
export interface SentMessage {
    /** Type of the message. */
    readonly type: string;
    /** Bytes of one datagram. */
    readonly bytes: number;
    /** Peers that it was sent to, each in a datagram of its own. */
    readonly receivers: number;
}

interface Totals {
    count: number;
    bytes: number;
}

function addTo(totalsByType: Map<string, Totals>, { bytes, receivers, type }: SentMessage): void {
    const totals = totalsByType.get(type) ?? { count: 0, bytes: 0 };
    totals.count += receivers;
    totals.bytes += receivers * bytes;
    totalsByType.set(type, totals);
}

/**
 * Counts sent datagrams by type, for the metrics and for the log. The metrics are updated when they are read.
 *
 * @example
 * ```ts
 * const sent = new SentDatagrams(metrics);
 * sent.record({ type: "digest", bytes: 1_700, receivers: 11 });
 * logger.info("time spent", sent.takeSummary());
 * ```
 */
export class SentDatagrams {
    readonly #metrics: EntryMetrics;
    readonly #byType = new Map<string, Totals>();
    /** What the metrics do not contain yet. */
    readonly #unreported = new Map<string, Totals>();

    constructor(metrics: EntryMetrics) {
        this.#metrics = metrics;
    }

    /** Counts the datagrams of a message. */
    record(message: SentMessage): void {
        addTo(this.#byType, message);
        addTo(this.#unreported, message);
    }

    /** Adds the datagrams since the last call to the metrics. */
    updateMetrics(): void {
        for (const [type, { bytes, count }] of this.#unreported) {
            this.#metrics.add("sent_datagrams", { type }, count);
            this.#metrics.add("sent_datagram_bytes", { type }, bytes);
        }
        this.#unreported.clear();
    }

    /** Returns a log field about the datagrams since the last call, those with most bytes first. */
    takeSummary(): LogFields {
        this.updateMetrics();
        const types = [...this.#byType].sort(([, left], [, right]) => right.bytes - left.bytes);
        this.#byType.clear();
        return {
            datagramsSent: types
                .map(([type, { bytes, count }]) => `${type} ${count} ${Math.ceil(bytes / BYTES_PER_KILOBYTE)} KB`)
                .join(", "),
        };
    }
}
