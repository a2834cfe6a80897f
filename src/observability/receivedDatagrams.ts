/**
 * Adds up the datagrams that a host receives from its peers: how many, of which size, and what they cost.
 *
 * @module
 */
import { type EntryMetrics } from "./entryMetrics.js";
import { type LogFields } from "./logger.js";

/** Senders that a summary names; the number of all is told beside. */
const MAXIMUM_NAMED_SENDERS = 3;

const BYTES_PER_KILOBYTE = 1_024;

/** A datagram that was received, and the time that was spent on it. */
export interface ReceivedDatagram {
    /** Type of the message; `unreadable` where it could not be decoded. */
    readonly type: string;
    /** Address and port of the sender. */
    readonly source: string;
    readonly bytes: number;
    readonly decodeMilliseconds: number;
    /** Time until the parts of the host that the message concerns had applied it. */
    readonly applyMilliseconds: number;
}

interface Totals {
    count: number;
    bytes: number;
    decodeMilliseconds: number;
    applyMilliseconds: number;
}

/** Options of {@linkcode ReceivedDatagrams}. */
export interface ReceivedDatagramsOptions {
    readonly metrics: EntryMetrics;
    /** Returns the name of the host at an address; `undefined` where none is known. */
    readonly nameSender: (source: string) => string | undefined;
}

function describeTotals(type: string, { applyMilliseconds, bytes, count, decodeMilliseconds }: Totals): string {
    const kilobytes = Math.ceil(bytes / BYTES_PER_KILOBYTE);
    return `${type} ${count} ${kilobytes} KB ${Math.round(decodeMilliseconds)}+${Math.round(applyMilliseconds)} ms`;
}

function addTo(
    totalsByType: Map<string, Totals>,
    { applyMilliseconds, bytes, decodeMilliseconds, type }: ReceivedDatagram,
): void {
    const totals = totalsByType.get(type) ?? { count: 0, bytes: 0, decodeMilliseconds: 0, applyMilliseconds: 0 };
    totals.count += 1;
    totals.bytes += bytes;
    totals.decodeMilliseconds += decodeMilliseconds;
    totals.applyMilliseconds += applyMilliseconds;
    totalsByType.set(type, totals);
}

/**
 * Counts received datagrams, by type for the metrics and by type and sender for the log. The metrics are updated when
 * they are read, since that costs more than many a datagram.
 *
 * @example
 * ```ts
 * const received = new ReceivedDatagrams({ metrics, nameSender: source => peers.findHostAt(source) });
 * received.record({ type: "digest", source, bytes: 4_096, decodeMilliseconds: 0.3, applyMilliseconds: 0.1 });
 * logger.info("time spent", received.takeSummary());
 * ```
 */
export class ReceivedDatagrams {
    readonly #options: ReceivedDatagramsOptions;
    readonly #byType = new Map<string, Totals>();
    /** What the metrics do not contain yet. */
    readonly #unreported = new Map<string, Totals>();
    readonly #countsBySource = new Map<string, number>();
    readonly #droppedByReason = new Map<string, number>();

    constructor(options: ReceivedDatagramsOptions) {
        this.#options = options;
    }

    /** Counts a datagram. */
    record(datagram: ReceivedDatagram): void {
        addTo(this.#byType, datagram);
        addTo(this.#unreported, datagram);
        this.#countsBySource.set(datagram.source, (this.#countsBySource.get(datagram.source) ?? 0) + 1);
    }

    /** Adds the datagrams since the last call to the metrics. */
    updateMetrics(): void {
        const { metrics } = this.#options;
        for (const [type, { applyMilliseconds, bytes, count, decodeMilliseconds }] of this.#unreported) {
            metrics.add("received_datagrams", { type }, count);
            metrics.add("received_datagram_bytes", { type }, bytes);
            metrics.spend(`datagrams-decoded-${type}`, decodeMilliseconds);
            metrics.spend(`datagrams-applied-${type}`, applyMilliseconds);
        }
        this.#unreported.clear();
    }

    /** Counts a datagram that was dropped without being handled. */
    recordDropped(reason: string): void {
        this.#options.metrics.count("dropped_datagrams", { reason });
        this.#droppedByReason.set(reason, (this.#droppedByReason.get(reason) ?? 0) + 1);
    }

    /** Returns log fields about the datagrams since the last call: all types, and the senders of most. */
    takeSummary(): LogFields {
        this.updateMetrics();
        const types = [...this.#byType].sort(([, left], [, right]) => right.count - left.count);
        const senders = [...this.#countsBySource].sort(([, left], [, right]) => right - left);
        const named = senders.slice(0, MAXIMUM_NAMED_SENDERS);
        const summary = {
            datagramsReceived: types.map(([type, totals]) => describeTotals(type, totals)).join(", "),
            datagramSenders: senders.length,
            mostDatagramsFrom: named
                .map(([source, count]) => `${this.#options.nameSender(source) ?? source} ${count}`)
                .join(", "),
            datagramsDropped: [...this.#droppedByReason].map(([reason, count]) => `${reason} ${count}`).join(", "),
        };
        this.#byType.clear();
        this.#countsBySource.clear();
        this.#droppedByReason.clear();
        return summary;
    }
}
