/**
 * The order of facts and acts in a host: what has arrived is read before anything is done, and acts rest on a current
 * view of the key-value service.
 *
 * The event loop runs timers, and callbacks of other events, before it has read all sockets. After time in which the
 * host did not run, acts that fell due meanwhile would come before the facts that make them wrong.
 *
 * @module
 */
import { setTimeout as delay } from "node:timers/promises";
import { describeThrown, type EntryMetrics, type Logger } from "../observability/index.js";
import { READ_INTERVAL_MILLISECONDS, type ReadTimes, ViewConfirmations } from "../staleness/index.js";
import { afterPolling } from "../transport/index.js";

/** Acts wait this long for the service to confirm the view; callers gain nothing from waiting for a slow service. */
const CONFIRMATION_MILLISECONDS = 100;

/** A question that failed at once is asked a second time after this time. */
const CONFIRMATION_RETRY_MILLISECONDS = 40;

/** Upstreams that leave go on for two seconds at least; an answer that is read this late leaves half of that. */
const MAXIMUM_ANSWER_AGE_MILLISECONDS = 1_000;

/** Acts of one turn of the event loop take about this long at most; then what has arrived is read again. */
const TURN_MILLISECONDS = 20;

/** How a question about the view ended. */
type Confirmation = "confirmed" | "no-answer";

/** A question that was answered, or whose answer acts no longer wait for. */
interface EndedQuestion {
    readonly outcome: Confirmation;
    readonly askedAt: number;
    /** True where the acts had waited for another question before. */
    readonly isRepeated: boolean;
}

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
export type Acts = Pick<ActQueue, "afterReading" | "enqueue" | "runInTurns" | "runOrEnqueue">;

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
    /** Steps that are to be run, a part of them in each turn of the event loop. */
    #due: (() => void)[] = [];
    #isRunning = false;
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
        this.#due = [];
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

    /** Runs steps in their order, after those that are due already; what arrives while they take long is read between. */
    runInTurns(steps: readonly (() => void)[]): void {
        if (this.#closed) {
            return;
        }
        this.#due.push(...steps);
        if (!this.#isRunning) {
            this.#runDue();
        }
    }

    /** Defers the steps by another immediate, which runs after the event loop has polled all sockets again. */
    #endIteration(): void {
        const steps = this.#steps;
        this.#steps = [];
        const polledAfter = this.#options.readClock();
        setImmediate(() => this.#handleRead(steps, polledAfter));
    }

    #handleRead(steps: readonly (() => void)[], polledAfter: number): void {
        const { logger, metrics, readClock, reads } = this.#options;
        const gapMilliseconds = reads.recordRead(readClock(), polledAfter);
        if (gapMilliseconds !== undefined) {
            this.#confirmations.recordGap();
            metrics.count("read_gaps", {});
            logger.warn("host did not read", { gapMilliseconds: Math.round(gapMilliseconds) });
            afterPolling(() => this.runInTurns(steps));
            return;
        }
        this.runInTurns(steps);
    }

    #runDue(): void {
        const { readClock } = this.#options;
        const endMilliseconds = readClock() + TURN_MILLISECONDS;
        this.#isRunning = true;
        let count = 0;
        while (count < this.#due.length && (count === 0 || readClock() < endMilliseconds)) {
            this.#runGuarded(this.#due[count] ?? (() => undefined));
            count += 1;
        }
        this.#due.splice(0, count);
        this.#isRunning = this.#due.length > 0;
        if (this.#isRunning) {
            afterPolling(() => this.#runDue());
        }
    }

    /** Runs a step so that an exception in it does not drop those behind it. */
    #runGuarded(step: () => void): void {
        try {
            step();
        }
        catch (error) {
            this.#logFailure(error);
        }
    }

    #logFailure(error: unknown): void {
        this.#options.logger.error("act failed", { detail: describeThrown(error) });
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

    async #ask(isRepeated = false): Promise<void> {
        this.#confirmations.recordAsked();
        const askedAt = this.#options.readClock();
        const outcome = await this.#confirmation();
        this.afterReading(() => this.#settle({ outcome, askedAt, isRepeated }));
    }

    /** Runs the acts for which a question was asked; asks once more if the host did not read for a while meanwhile. */
    #settle({ askedAt, isRepeated, outcome }: EndedQuestion): void {
        const ageMilliseconds = this.#options.readClock() - askedAt;
        const isOld = this.#confirmations.hasGapSinceAsked && ageMilliseconds >= MAXIMUM_ANSWER_AGE_MILLISECONDS;
        const mustRepeat = isOld && !isRepeated;
        this.#confirmations.recordEnded();
        this.#recordConfirmation(outcome, askedAt);
        if (mustRepeat) {
            this.#asking.push(...this.#held.splice(0));
            void this.#ask(true);
            return;
        }
        this.runInTurns(this.#asking.splice(0));
        const held = this.#held.splice(0);
        held.forEach(act => this.#runOnCurrentView(act));
    }

    /** Asks for the view to be confirmed, a second time after an error, and waits for a limited time in all. */
    #confirmation(): Promise<Confirmation> {
        return new Promise(resolve => {
            const timer = setTimeout(
                () => this.afterReading(() => this.afterReading(() => resolve("no-answer"))),
                CONFIRMATION_MILLISECONDS,
            );
            const end = (outcome: Confirmation): void => {
                clearTimeout(timer);
                resolve(outcome);
            };
            void this.#isConfirmed().then(async isConfirmed => {
                if (!isConfirmed) {
                    await delay(CONFIRMATION_RETRY_MILLISECONDS);
                }
                end(isConfirmed || await this.#isConfirmed() ? "confirmed" : "no-answer");
            });
        });
    }

    async #isConfirmed(): Promise<boolean> {
        try {
            return await this.#options.confirmView();
        }
        catch (error) {
            this.#logFailure(error);
            return false;
        }
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
