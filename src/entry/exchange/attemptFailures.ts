/**
 * What follows from a failed attempt: another one, or the end of the request.
 *
 * @module
 */
import {
    type AttemptFailure,
    decideAfterAttempt,
    decideWithoutRetry,
    type FailedAttempt,
    mayRunAgain,
    type RepeatDecision,
} from "../../forwarding/index.js";
import { type Attempt } from "./attempt.js";
import { crashVerdict, logConviction } from "./crashVerdict.js";
import { type DispatchTimer } from "./dispatchTimer.js";
import { type FailureReason } from "./failureReason.js";
import { type Hedging } from "./hedging.js";
import { type RequestEnding } from "./requestEnding.js";
import { type RequestParts } from "./requestParts.js";
import { STATUS_BAD_GATEWAY } from "./statuses.js";

/** Minimum delay before a request that an upstream rejected is sent again. */
const REJECTED_RETRY_DELAY_MILLISECONDS = 15;

/** Options of {@linkcode AttemptFailures}. */
export interface AttemptFailuresOptions {
    readonly parts: RequestParts;
    readonly hedging: () => Hedging;
    readonly ending: RequestEnding;
    readonly dispatchTimer: DispatchTimer;
}

/** Retries a request after a failed attempt, or ends it. */
export class AttemptFailures {
    readonly #options: AttemptFailuresOptions;
    readonly #parts: RequestParts;
    /** False once as many upstreams as allowed have rejected hedges of the request. */
    #mayHedge = true;

    constructor(options: AttemptFailuresOptions) {
        this.#options = options;
        this.#parts = options.parts;
    }

    /** Returns whether the request may run once more beside the attempts that run. */
    isHedgeAllowed(): boolean {
        const { answer } = this.#parts;
        return this.#mayHedge && answer.passedOnFor === undefined && this.#hasAttemptsLeft()
            && crashVerdict(this.#parts).type === "accepted";
    }

    /** Returns whether the request may be retried, and another upstream could accept it now. */
    canRetryElsewhere({ upstream }: Attempt): boolean {
        const { context, facts, request: { route }, selection } = this.#parts;
        return mayRunAgain(route.kind, route.resumable)
            && this.#hasAttemptsLeft()
            && context.budget.remaining(facts.service ?? "", context.readClock()) > 0
            && selection.hasAlternative(new Set([upstream.id]));
    }

    /** Ends a failed attempt; unless another one still runs, the request is retried or ended. */
    handle(attempt: Attempt, failure: AttemptFailure, detail: string): void {
        const { attempts, context, counts, logger, progress, selection } = this.#parts;
        if (this.#options.ending.ended || !attempts.has(attempt)) {
            return;
        }
        const neverSent = failure === "silent" && attempt.call?.mayHaveSent === false;
        const provenFailure = neverSent ? "not-connected" : failure;
        if (provenFailure === "connection-lost") {
            attempt.recordLost();
        }
        const silence = logger.describeSilence(attempt);
        attempts.cancel(attempt);
        progress.recordAttemptFailed();
        if (attempt.recordFailure(provenFailure)) {
            if (provenFailure === "silent") {
                selection.recordSilent(attempt.upstream.id);
            }
            else {
                selection.recordTried(attempt.upstream.id);
            }
        }
        counts.recordFailure(provenFailure);
        const attemptState = this.#stateAfter(provenFailure);
        const decision = decideAfterAttempt(attemptState);
        context.metrics.count("attempt_failures", { reason: provenFailure });
        logger.info("attempt failed", {
            upstream: attempt.upstream.id,
            attempt: attempt.number,
            reason: provenFailure,
            detail,
            decision: attempts.count === 0 ? decision.type : "go-on",
            sentBefore: counts.mayHaveRun,
            ...silence,
            answerBegun: this.#parts.answer.begun,
            configurationVersion: this.#parts.request.configurationVersion,
            ...provenFailure === "connection-lost" ? attempt.describeLoss() : {},
        });
        if (attempts.count === 0) {
            this.#options.hedging().close();
            this.#applyDecision(decision, attemptState);
            return;
        }
        if (provenFailure !== "silent") {
            this.#mayHedge = decision.type === "repeat";
            this.#options.hedging().recheck();
        }
    }

    #hasAttemptsLeft(): boolean {
        const { attempts, counts, request: { route } } = this.#parts;
        return counts.mayHaveRun + attempts.count < route.maximumAttempts;
    }

    #stateAfter(failure: AttemptFailure): FailedAttempt {
        const { answer, counts, request: { route: { kind, maximumAttempts, resumable } } } = this.#parts;
        return {
            kind,
            resumable,
            failure,
            attemptsThatMayHaveRun: counts.mayHaveRun,
            rejectedSends: counts.rejected,
            maximumAttempts,
            answerBegun: answer.begun,
            isPassedOn: answer.passedOnFor !== undefined,
        };
    }

    #applyDecision(decision: RepeatDecision, attemptState: FailedAttempt): void {
        if (decision.type !== "repeat") {
            this.#abortRetries(decision, attemptState.failure);
            return;
        }
        const verdict = crashVerdict(this.#parts);
        if (verdict.type === "refused") {
            logConviction(this.#parts, verdict);
            this.#abortRetries(decideWithoutRetry(attemptState), "crashes-engines");
            return;
        }
        const { context, facts, logger } = this.#parts;
        const service = facts.service ?? "";
        if (decision.drawsOnBudget && !context.budget.tryConsume(service, context.readClock())) {
            context.metrics.count("repeats_denied", { service });
            logger.info("repeat denied", { service, reason: "budget" });
            this.#abortRetries(decideWithoutRetry(attemptState), "budget");
            return;
        }
        context.metrics.count("repeats", { reason: attemptState.failure });
        const wasRejected = attemptState.failure === "not-resident" || attemptState.failure === "not-run";
        this.#options.dispatchTimer.schedule(wasRejected ? REJECTED_RETRY_DELAY_MILLISECONDS : 0);
    }

    #abortRetries(decision: RepeatDecision, reason: FailureReason): void {
        const { ending } = this.#options;
        if (decision.type === "refuse") {
            const capacityMilliseconds = this.#parts.place.expectedCapacityMilliseconds;
            ending.refuse(reason, reason === "crashes-engines" ? undefined : capacityMilliseconds / 2);
        }
        else if (decision.type === "break-off") {
            ending.abortAnswer(reason);
        }
        else {
            ending.fail(STATUS_BAD_GATEWAY, reason);
        }
    }
}
