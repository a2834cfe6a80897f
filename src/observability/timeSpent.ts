/**
 * What a host spends its time on beside requests.
 *
 * @module
 */
import { type EntryMetrics } from "./entryMetrics.js";
import { type Logger } from "./logger.js";

/** What is measured apart; the rest of a process's time goes to requests and to what Node.js does around all of it. */
export type SpendingSubject = "planning" | "datagrams-read" | "datagrams-sent";

/** Time between two log lines. */
const REPORT_MILLISECONDS = 5_000;

const MICROSECONDS_PER_MILLISECOND = 1_000;

function nothingSpent(): Record<SpendingSubject, number> {
    return { "planning": 0, "datagrams-read": 0, "datagrams-sent": 0 };
}

/** Options of the measure. */
export interface TimeSpentOptions {
    readonly logger: Logger;
    readonly metrics: EntryMetrics;
    /** The steady clock. */
    readonly readClock: () => number;
    /** Processor time of the whole process so far, in microseconds. */
    readonly readProcessorMicroseconds: () => number;
}

/**
 * Adds up the time that work of each subject takes, and reports it beside the processor time of the whole process.
 *
 * @example
 * ```ts
 * const timeSpent = new TimeSpent({ logger, metrics, readClock, readProcessorMicroseconds });
 * const moves = timeSpent.measure("planning", () => planMoves(situation));
 * timeSpent.report();
 * ```
 */
export class TimeSpent {
    readonly #options: TimeSpentOptions;
    #sinceReport = nothingSpent();
    #reportedAtMilliseconds: number;
    #processorMicroseconds: number;

    constructor(options: TimeSpentOptions) {
        this.#options = options;
        this.#reportedAtMilliseconds = options.readClock();
        this.#processorMicroseconds = options.readProcessorMicroseconds();
    }

    /** Does some work and books how long it took. */
    measure<Value>(subject: SpendingSubject, work: () => Value): Value {
        const { metrics, readClock } = this.#options;
        const startedAt = readClock();
        try {
            return work();
        }
        finally {
            const took = readClock() - startedAt;
            this.#sinceReport[subject] += took;
            metrics.spend(subject, took);
        }
    }

    /** Logs what was spent since the last report, where that is some seconds ago. */
    report(): void {
        const now = this.#options.readClock();
        const passed = now - this.#reportedAtMilliseconds;
        if (passed < REPORT_MILLISECONDS) {
            return;
        }
        const processor = this.#options.readProcessorMicroseconds();
        this.#options.logger.info("time spent", {
            passedMilliseconds: Math.round(passed),
            processorMilliseconds: Math.round((processor - this.#processorMicroseconds) / MICROSECONDS_PER_MILLISECOND),
            planningMilliseconds: Math.round(this.#sinceReport.planning),
            datagramsReadMilliseconds: Math.round(this.#sinceReport["datagrams-read"]),
            datagramsSentMilliseconds: Math.round(this.#sinceReport["datagrams-sent"]),
        });
        this.#reportedAtMilliseconds = now;
        this.#processorMicroseconds = processor;
        this.#sinceReport = nothingSpent();
    }
}
