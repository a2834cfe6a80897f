/**
 * A request's place among the waiting ones of its host, and what follows from it.
 *
 * @module
 */
import {
    type Admission,
    type EarlyRefusal,
    type QueueFacts,
    type QueueRank,
    queueRank,
    retryDelay,
    type RetryDelayInput,
    type WaitEstimate,
} from "../../admission/index.js";
import { maximumWaitMilliseconds } from "../../forwarding/index.js";
import { type EntryMetrics } from "../../observability/index.js";
import { type PermitWait } from "../../rateLimits/index.js";
import { EXPECTED_CAPACITY_MILLISECONDS } from "./expectedCapacity.js";
import { type FailureReason } from "./failureReason.js";
import { type CallerRequest, type RequestFacts } from "./requestFacts.js";
import { type RunningAttempts } from "./runningAttempts.js";
import { type StreamProgress } from "./streamProgress.js";
import { waitingRank } from "./waitingRank.js";

const MILLISECONDS_PER_SECOND = 1_000;

/** Reasons to refuse a request for which nothing but the rate of dispatches tells when it could be served. */
const CAPACITY_REASONS: ReadonlySet<FailureReason> = new Set([
    "all-full",
    "no-upstream",
    "prompts-unread",
    "rejection-bounds",
]);

/** Options of {@linkcode QueuePlace}. */
export interface QueuePlaceOptions {
    readonly admission: Admission;
    readonly metrics: EntryMetrics;
    readonly readClock: () => number;
    readonly request: CallerRequest;
    readonly facts: RequestFacts;
    readonly attempts: RunningAttempts;
    readonly permitWait: PermitWait;
    readonly progress: StreamProgress;
}

/** One request's place in the order of waiting, its expected wait, and when it is refused for that. */
export class QueuePlace {
    readonly queueFacts: QueueFacts;
    /** Requests of its group in front of it at the last pass; `undefined` before its first. */
    passPosition: number | undefined;
    /** True while the request waits since another one that may crash upstreams for the same reason is tried. */
    isDoubted = false;
    readonly #options: QueuePlaceOptions;
    readonly #maximumWaitMilliseconds: number;
    /** The group in which it waits; `undefined` while it does not wait, or waits for something of its own. */
    #waitsIn: string | undefined;
    #sinceMilliseconds: number | undefined;
    #expectedAtStart: WaitEstimate | undefined;
    #refusal: EarlyRefusal | undefined;
    #isOutcomeKnown = false;
    #isRefusedForCapacity = false;

    constructor(options: QueuePlaceOptions) {
        this.#options = options;
        const { facts, request: { account, arrivedAtMilliseconds, route } } = options;
        this.queueFacts = {
            service: facts.service ?? "",
            priority: route.priority,
            account: account?.account.name,
            arrivedAtMilliseconds,
            targetLatencyMilliseconds: route.targetLatencyMilliseconds,
        };
        this.#maximumWaitMilliseconds = maximumWaitMilliseconds(
            route,
            facts.deadlineAtMilliseconds - arrivedAtMilliseconds,
        );
    }

    /**
     * Equal for requests that can go to the same upstreams; `undefined` once this one was sent, since the upstreams
     * that failed it are then excluded, while its own attributes hold it back, and until it is decided whether it should
     * wait for a permit.
     */
    get waitKey(): string | undefined {
        const { attempts, permitWait } = this.#options;
        return attempts.sentCount > 0 || this.isDoubted || permitWait.isUndecided ? undefined : this.#group;
    }

    get rank(): QueueRank {
        const { admission, permitWait, progress, request: { arrivedAtMilliseconds, route } } = this.#options;
        const isForPermit = permitWait.upstream !== undefined;
        const waiting = {
            permitSinceMilliseconds: isForPermit ? permitWait.request.sinceMilliseconds : undefined,
            isResumed: progress.isBegun,
        };
        if (!this.#isInForce) {
            return waitingRank({ route, arrivedAtMilliseconds, ...waiting }, this.#now());
        }
        const { account, priority, service, targetLatencyMilliseconds } = this.queueFacts;
        return queueRank({
            priority,
            arrivedAtMilliseconds,
            targetLatencyMilliseconds,
            permitSinceMilliseconds: waiting.permitSinceMilliseconds,
            isResumed: waiting.isResumed,
            firstEventMilliseconds: admission.firstEvents.usual(service),
            waitsSinceMilliseconds: this.#sinceMilliseconds,
            maximumWaitMilliseconds: this.#maximumWaitMilliseconds,
            isOverFairShare: admission.isOverFairShare(account),
        }, this.#now());
    }

    /** The request begins to wait. */
    begin(): void {
        const { admission } = this.#options;
        const key = this.waitKey;
        this.#sinceMilliseconds = this.#now();
        if (this.#isInForce && key !== undefined) {
            this.#waitsIn = key;
            admission.recordBegun(key, this.#now());
            this.#expectedAtStart = this.#estimate();
        }
    }

    /** The request is refused; called before its end. */
    recordRefused(reason: FailureReason): void {
        this.#isRefusedForCapacity = CAPACITY_REASONS.has(reason);
    }

    /**
     * The request is sent, or ends; called whether or not it waited. Others that were not sent, such as those whose caller
     * left, tell nothing of how the service serves.
     */
    end(outcome: "sent" | "not-sent"): void {
        const { admission } = this.#options;
        if (this.#waitsIn !== undefined) {
            const notSent = this.#refusal === undefined ? "left" : "refused-early";
            admission.recordEnded(this.#waitsIn, outcome === "sent" ? "sent" : notSent, this.#now());
            this.#observeWait(outcome);
        }
        if (this.#isInForce && !this.#isOutcomeKnown && (outcome === "sent" || this.#isRefusedForCapacity)) {
            admission.recordOutcome(this.queueFacts, outcome === "sent", this.#now());
        }
        this.#isOutcomeKnown = true;
        this.#waitsIn = undefined;
        this.#sinceMilliseconds = undefined;
    }

    /** Returns why the request is refused although it could wait longer; `undefined` where it may wait. */
    decideRefusal(remainingWaitMilliseconds: number): EarlyRefusal | undefined {
        const { admission, facts, metrics } = this.#options;
        if (!this.#isInForce || this.#waitsIn === undefined) {
            return undefined;
        }
        this.#refusal = admission.decideRefusal({
            facts: this.queueFacts,
            estimate: this.#estimate(),
            remainingWaitMilliseconds,
            takesAnySlotAtEnd: this.#now() + remainingWaitMilliseconds <= this.#latestStartMilliseconds
                && admission.slotsLeftFree(this.queueFacts, true, this.#now()) === 0
                && admission.slotsLeftFree(this.queueFacts, false, this.#now()) > 0,
            remainingMilliseconds: facts.deadlineAtMilliseconds - this.#now(),
        });
        if (this.#refusal !== undefined) {
            metrics.count("early_refusals", { reason: this.#refusal });
        }
        return this.#refusal;
    }

    /**
     * Slots of each upstream that the request leaves free for others; fewer at the end of its wait where it can still meet
     * its target, since it would be refused otherwise.
     */
    get slotsLeftFree(): number {
        const { admission } = this.#options;
        if (!this.#isInForce) {
            return 0;
        }
        const now = this.#now();
        const isWaitOver = now - (this.#sinceMilliseconds ?? now) >= this.#maximumWaitMilliseconds;
        const isLastMoment = isWaitOver && now <= this.#latestStartMilliseconds;
        return admission.slotsLeftFree(this.queueFacts, isLastMoment, now);
    }

    /**
     * Expected time until upstreams that are full or unreachable accept the request; at least as long as it has waited in
     * vain.
     */
    get expectedCapacityMilliseconds(): number {
        if (!this.#isInForce) {
            return EXPECTED_CAPACITY_MILLISECONDS;
        }
        const now = this.#now();
        const estimate = this.#options.admission.estimateReturn(this.#group, now);
        const waitedMilliseconds = now - (this.#sinceMilliseconds ?? now);
        return Math.max(estimate?.expectedMilliseconds ?? EXPECTED_CAPACITY_MILLISECONDS, waitedMilliseconds);
    }

    /**
     * Returns the delay after which the refused caller should come back; `undefined` where nothing is measured for its
     * service, or what it waited for has a time of its own, before which it need not come back.
     *
     * @param reason Why it is refused.
     * @param input When it could be served, and how long its caller can wait for that.
     */
    retryDelay(
        reason: FailureReason,
        { expectedMilliseconds, remainingMilliseconds, spread }: Pick<
            RetryDelayInput,
            "expectedMilliseconds" | "remainingMilliseconds" | "spread"
        >,
    ): number | undefined {
        const { priority } = this.queueFacts;
        const waitedMilliseconds = this.#now() - (this.#sinceMilliseconds ?? this.#now());
        const waitedShare = waitedMilliseconds / Math.max(1, this.#maximumWaitMilliseconds);
        return this.#isInForce && CAPACITY_REASONS.has(reason)
            ? retryDelay({ expectedMilliseconds, remainingMilliseconds, priority, waitedShare, spread })
            : undefined;
    }

    /** Returns log fields with the request's expected wait; none where nothing is known. */
    describe(): Record<string, number | string | undefined> {
        const estimate = this.#isInForce ? this.#estimate() : undefined;
        return estimate === undefined ? { early: this.#refusal } : {
            early: this.#refusal,
            inFront: estimate.inFront,
            expectedWaitMilliseconds: Math.round(estimate.expectedMilliseconds),
            dispatchesPerSecond: Number(estimate.perSecond.toFixed(1)),
            dispatchDoubt: Number(estimate.doubt.toFixed(2)),
        };
    }

    get #isInForce(): boolean {
        return this.#options.admission.isInForce(this.queueFacts.service);
    }

    /** When it would have to be sent to meet its target. */
    get #latestStartMilliseconds(): number {
        const { arrivedAtMilliseconds, service, targetLatencyMilliseconds } = this.queueFacts;
        const firstEventMilliseconds = this.#options.admission.firstEvents.usual(service);
        return arrivedAtMilliseconds + targetLatencyMilliseconds - firstEventMilliseconds;
    }

    get #group(): string {
        const { facts: { adapter, model, service }, progress } = this.#options;
        return [service, model, adapter, progress.version].join(" ");
    }

    #estimate(): WaitEstimate | undefined {
        const { passPosition, rank } = this;
        return this.#options.admission.estimate(this.#waitsIn ?? this.#group, { passPosition, rank }, this.#now());
    }

    /** Observes the real wait of a request that is sent, as a multiple of the wait that was expected. */
    #observeWait(outcome: "sent" | "not-sent"): void {
        const expectedMilliseconds = this.#expectedAtStart?.expectedMilliseconds;
        if (outcome === "sent" && expectedMilliseconds !== undefined && expectedMilliseconds > 0) {
            const waitedMilliseconds = this.#now() - (this.#sinceMilliseconds ?? this.#now());
            this.#options.metrics.observe(
                "wait_ratio",
                waitedMilliseconds / expectedMilliseconds * MILLISECONDS_PER_SECOND,
                {},
            );
        }
    }

    #now(): number {
        return this.#options.readClock();
    }
}
