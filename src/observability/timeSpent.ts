/**
 * Measures the time that a host spends on work other than requests.
 *
 * @module
 */
import { type EntryMetrics } from "./entryMetrics.js";
import { type LogFields, type Logger } from "./logger.js";

/** Work that is measured separately. The remaining time goes to requests and to the Node.js runtime. */
export type WorkSubject = "planning" | "datagrams-read" | "datagrams-sent";

/** Minimum interval between two log lines. */
const REPORT_INTERVAL_MILLISECONDS = 5_000;

const MICROSECONDS_PER_MILLISECOND = 1_000;

function createZeroTotals(): Record<WorkSubject, number> {
    return { "planning": 0, "datagrams-read": 0, "datagrams-sent": 0 };
}

/** Options of `TimeSpent`. */
export interface TimeSpentOptions {
    readonly logger: Logger;
    readonly metrics: EntryMetrics;
    /** Reads the monotonic clock, in milliseconds. */
    readonly readClock: () => number;
    /** Reads the processor time that the process has used since its start, in microseconds. */
    readonly readProcessorMicroseconds: () => number;
}

/**
 * Adds up the time spent on each subject, and logs it with the processor time of the whole process.
 *
 * @example
 * ```ts
 * const timeSpent = new TimeSpent({ logger, metrics, readClock, readProcessorMicroseconds });
 * const moves = timeSpent.measure("planning", () => planBestMove(input));
 * timeSpent.report();
 * ```
 */
export class TimeSpent {
    readonly #options: TimeSpentOptions;
    #spentMilliseconds = createZeroTotals();
    #reportedAtMilliseconds: number;
    #reportedProcessorMicroseconds: number;

    constructor(options: TimeSpentOptions) {
        this.#options = options;
        this.#reportedAtMilliseconds = options.readClock();
        this.#reportedProcessorMicroseconds = options.readProcessorMicroseconds();
    }

    /** Runs a function and adds its duration to a subject, also where it throws. */
    measure<Value>(subject: WorkSubject, work: () => Value): Value {
        const { readClock } = this.#options;
        const startedAtMilliseconds = readClock();
        try {
            return work();
        }
        finally {
            this.add(subject, readClock() - startedAtMilliseconds);
        }
    }

    /** Adds time that was measured elsewhere to a subject. */
    add(subject: WorkSubject, milliseconds: number): void {
        this.#spentMilliseconds[subject] += milliseconds;
        this.#options.metrics.spend(subject, milliseconds);
    }

    /**
     * Logs the time spent since the last report, if that was at least 5 s ago.
     *
     * @param describe Returns further fields about the same time; called only where a line is logged.
     */
    report(describe: () => LogFields = () => ({})): void {
        const now = this.#options.readClock();
        const elapsedMilliseconds = now - this.#reportedAtMilliseconds;
        if (elapsedMilliseconds < REPORT_INTERVAL_MILLISECONDS) {
            return;
        }
        const processorMicroseconds = this.#options.readProcessorMicroseconds();
        this.#options.logger.info("time spent", {
            passedMilliseconds: Math.round(elapsedMilliseconds),
            processorMilliseconds: Math.round(
                (processorMicroseconds - this.#reportedProcessorMicroseconds) / MICROSECONDS_PER_MILLISECOND,
            ),
            planningMilliseconds: Math.round(this.#spentMilliseconds.planning),
            datagramsReadMilliseconds: Math.round(this.#spentMilliseconds["datagrams-read"]),
            datagramsSentMilliseconds: Math.round(this.#spentMilliseconds["datagrams-sent"]),
            ...describe(),
        });
        this.#reportedAtMilliseconds = now;
        this.#reportedProcessorMicroseconds = processorMicroseconds;
        this.#spentMilliseconds = createZeroTotals();
    }
}
