/**
 * The order of facts and acts in a host: what has arrived is read before anything is done.
 *
 * The event loop runs timers, and callbacks of other events, before it has read all sockets. After time in which the
 * host did not run, acts that fell due meanwhile would come before the facts that make them wrong.
 *
 * @module
 */
import { type EntryMetrics, type Logger } from "../observability/index.js";
import { READ_INTERVAL_MILLISECONDS, type ReadTimes } from "../staleness/index.js";

/** Options of {@linkcode ActQueue}. */
export interface ActQueueOptions {
    readonly reads: ReadTimes;
    readonly readClock: () => number;
    readonly logger: Logger;
    readonly metrics: EntryMetrics;
}

/** Where acts wait; what parts of a host that act need of an {@linkcode ActQueue}. */
export type Acts = Pick<ActQueue, "afterReading" | "enqueue">;

/**
 * Runs acts in the order in which they were added, each once everything was read that arrived before it.
 *
 * @example
 * ```ts
 * const acts = new ActQueue({ reads, readClock, logger, metrics });
 * acts.start();
 * acts.enqueue(() => exchange.dispatch());
 * acts.close();
 * ```
 */
export class ActQueue {
    readonly #options: ActQueueOptions;
    /** Steps of the current iteration of the event loop. */
    #steps: (() => void)[] = [];
    #timer: NodeJS.Timeout | undefined;
    #closed = false;

    constructor(options: ActQueueOptions) {
        this.#options = options;
    }

    /** Begins to notice gaps in reading. */
    start(): void {
        this.#timer = setInterval(() => this.afterReading(() => undefined), READ_INTERVAL_MILLISECONDS);
    }

    /** Drops the acts that wait. */
    close(): void {
        this.#closed = true;
        clearInterval(this.#timer);
    }

    /** Runs a step once everything was read that has arrived by now. */
    afterReading(step: () => void): void {
        if (this.#steps.length === 0) {
            setImmediate(() => this.#endIteration());
        }
        this.#steps.push(step);
    }

    /** Runs an act once everything was read that has arrived by now. */
    enqueue(act: () => void): void {
        this.afterReading(act);
    }

    /** Defers the steps by another immediate, which runs after the event loop has polled all sockets again. */
    #endIteration(): void {
        const steps = this.#steps;
        this.#steps = [];
        setImmediate(() => this.#handleRead(steps));
    }

    #handleRead(steps: readonly (() => void)[]): void {
        const { logger, metrics, readClock, reads } = this.#options;
        const gapMilliseconds = reads.recordRead(readClock());
        if (gapMilliseconds !== undefined) {
            metrics.count("read_gaps", {});
            logger.warn("host did not read", { gapMilliseconds: Math.round(gapMilliseconds) });
            this.#deferOnce(steps);
            return;
        }
        this.#runSteps(steps);
    }

    /** Runs steps once everything was read again, since the host did not run while they waited. */
    #deferOnce(steps: readonly (() => void)[]): void {
        setImmediate(() => setImmediate(() => this.#runSteps(steps)));
    }

    #runSteps(steps: readonly (() => void)[]): void {
        if (!this.#closed) {
            steps.forEach(step => step());
        }
    }
}
