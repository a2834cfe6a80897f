/**
 * The order of facts and acts in a host: what has arrived is read before anything is done, and acts rest on a current
 * view of the key-value service.
 *
 * The event loop runs timers, and callbacks of other events, before it has read all sockets. After time in which the
 * host did not run, acts that fell due meanwhile would come before the facts that make them wrong.
 *
 * @module
 */
import { type EntryMetrics, type Logger } from "../observability/index.js";
import { READ_INTERVAL_MILLISECONDS, type ReadTimes, ViewConfirmations } from "../staleness/index.js";
import { afterPolling } from "../transport/index.js";

/** Acts wait this long for the service to confirm the view; callers gain nothing from waiting for a slow service. */
const CONFIRMATION_MILLISECONDS = 100;

/** How a question about the view ended. */
type Confirmation = "confirmed" | "no-answer";

/** Options of {@linkcode ActQueue}. */
export interface ActQueueOptions {
    readonly reads: ReadTimes;
    readonly readClock: () => number;
    readonly logger: Logger;
    readonly metrics: EntryMetrics;
    /** Applies the changes of the key-value service that this host has not heard of; false where it does not answer. */
    readonly confirmView: () => Promise<boolean>;
}

/** Where acts wait; what parts of a host that act need of an {@linkcode ActQueue}. */
export type Acts = Pick<ActQueue, "afterReading" | "enqueue" | "runOrEnqueue">;

/**
 * Runs acts in the order in which they were added, each once everything was read that arrived before it.
 *
 * @example
 * ```ts
 * const acts = new ActQueue({ reads, readClock, logger, metrics, confirmView });
 * acts.start();
 * acts.enqueue(() => exchange.dispatch());
 * acts.close();
 * ```
 */
export class ActQueue {
    readonly #options: ActQueueOptions;
    readonly #confirmations = new ViewConfirmations();
    /** Steps of the current iteration of the event loop. */
    #steps: (() => void)[] = [];
    /** Acts for which the open question was asked. */
    #asking: (() => void)[] = [];
    /** Acts that wait for the next question, since the host did not read for a while after the open one was asked. */
    #held: (() => void)[] = [];
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
        this.#asking = [];
        this.#held = [];
    }

    /** Runs a step once everything was read that has arrived by now. */
    afterReading(step: () => void): void {
        if (this.#steps.length === 0) {
            setImmediate(() => this.#endIteration());
        }
        this.#steps.push(step);
    }

    /** Runs an act once everything was read that has arrived by now, and the view is current. */
    enqueue(act: () => void): void {
        this.afterReading(() => this.#runOnCurrentView(act));
    }

    /** Runs an act at once on a host that reads and whose view is current; otherwise as {@linkcode enqueue} does. */
    runOrEnqueue(act: () => void): void {
        const { readClock, reads } = this.#options;
        if (this.#confirmations.state === "current" && !reads.isBehind(readClock())) {
            act();
        }
        else {
            this.enqueue(act);
        }
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
            this.#confirmations.recordGap();
            metrics.count("read_gaps", {});
            logger.warn("host did not read", { gapMilliseconds: Math.round(gapMilliseconds) });
            this.#deferOnce(steps);
            return;
        }
        this.#runSteps(steps);
    }

    /** Runs steps once everything was read again, since the host did not run while they waited. */
    #deferOnce(steps: readonly (() => void)[]): void {
        afterPolling(() => this.#runSteps(steps));
    }

    #runSteps(steps: readonly (() => void)[]): void {
        if (!this.#closed) {
            steps.forEach(step => this.#runGuarded(step));
        }
    }

    /** Runs a step so that an exception in it does not drop those behind it. */
    #runGuarded(step: () => void): void {
        try {
            step();
        }
        catch (error) {
            const detail = error instanceof Error ? error.stack : String(error);
            this.#options.logger.error("act failed", { detail });
        }
    }

    #runOnCurrentView(act: () => void): void {
        switch (this.#confirmations.state) {
            case "current":
                act();
                break;
            case "ask":
                this.#asking.push(act);
                void this.#ask();
                break;
            case "asked":
                (this.#confirmations.hasGapSinceAsked ? this.#held : this.#asking).push(act);
        }
    }

    async #ask(): Promise<void> {
        this.#confirmations.recordAsked();
        const askedAt = this.#options.readClock();
        const confirmation = await this.#confirmation();
        if (this.#closed) {
            return;
        }
        this.#confirmations.recordEnded();
        this.#recordConfirmation(confirmation, askedAt);
        const acts = this.#asking;
        this.#asking = [];
        acts.forEach(act => this.#runGuarded(act));
        this.#askForHeld();
    }

    #askForHeld(): void {
        const held = this.#held;
        this.#held = [];
        held.forEach(act => this.#runOnCurrentView(act));
    }

    #confirmation(): Promise<Confirmation> {
        return new Promise(resolve => {
            const timer = setTimeout(
                () => this.afterReading(() => this.afterReading(() => resolve("no-answer"))),
                CONFIRMATION_MILLISECONDS,
            );
            void this.#options.confirmView().then(isConfirmed => {
                clearTimeout(timer);
                resolve(isConfirmed ? "confirmed" : "no-answer");
            });
        });
    }

    #recordConfirmation(outcome: Confirmation, askedAtMilliseconds: number): void {
        const { logger, metrics, readClock } = this.#options;
        metrics.count("view_confirmations", { outcome });
        logger.info("view checked after a gap in reading", {
            outcome,
            acts: this.#asking.length,
            tookMilliseconds: Math.round(readClock() - askedAtMilliseconds),
        });
    }
}
