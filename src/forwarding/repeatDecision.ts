/**
 * Decides whether a request is retried after a failed attempt, and which failure its caller gets otherwise.
 *
 * @module
 */
import { type RequestKind } from "../routes/index.js";
import { type AttemptFailure, provesNotRun, provesNotSent } from "./types.js";

/** Maximum sends of one request, beyond its attempts, that upstreams rejected without executing it. */
const MAXIMUM_REJECTED_SENDS = 3;

/** A failed attempt, and the request's kind and earlier attempts. */
export interface FailedAttempt {
    readonly kind: RequestKind;
    readonly resumable: boolean;
    readonly failure: AttemptFailure;
    /** Attempts so far that the upstream may have executed, this one included. */
    readonly attemptsThatMayHaveRun: number;
    /** Sends so far that an upstream rejected, this one included. */
    readonly rejectedSends: number;
    readonly maximumAttempts: number;
    /** True once a part of the answer was sent to the caller. */
    readonly answerBegun: boolean;
    /** True where that answer is no stream, so that no other attempt can continue it. */
    readonly isPassedOn: boolean;
}

/** What to do after a failed attempt. */
export type RepeatDecision =
    /** Retry, provided that the retry budget has room where the retry draws on it. */
    | { readonly type: "repeat"; readonly drawsOnBudget: boolean; }
    /** Answer that the request was not executed and never will be. */
    | { readonly type: "refuse"; }
    /** Answer that the request failed; it may have been executed. */
    | { readonly type: "fail"; }
    /** Abort the answer, so that it does not look complete. */
    | { readonly type: "break-off"; };

/**
 * Returns whether requests of a route may be executed more than once.
 *
 * @param kind The route's kind.
 * @param resumable Whether its streams can be resumed.
 */
export function mayRunAgain(kind: RequestKind, resumable: boolean): boolean {
    return kind === "idempotent" || (kind === "event-stream" && resumable);
}

/**
 * Returns the decision for a request that may not be retried, or whose retry was decided and cannot be made.
 *
 * @param failedAttempt The failed attempt, with the request's kind and earlier attempts.
 */
export function decideWithoutRetry(failedAttempt: FailedAttempt): RepeatDecision {
    if (failedAttempt.answerBegun) {
        return { type: "break-off" };
    }
    return { type: failedAttempt.attemptsThatMayHaveRun === 0 ? "refuse" : "fail" };
}

/**
 * Decides whether a failed attempt is retried, or how the request ends.
 *
 * @param failedAttempt The failed attempt, with the request's kind and earlier attempts.
 * @returns The decision; where the budget has no room for a retry, {@linkcode decideWithoutRetry} decides instead.
 *
 * @example
 * ```ts
 * const decision = decideAfterAttempt({
 *     kind: "idempotent",
 *     resumable: false,
 *     failure: "connection-lost",
 *     attemptsThatMayHaveRun: 1,
 *     rejectedSends: 0,
 *     maximumAttempts: 2,
 *     answerBegun: false,
 *     isPassedOn: false,
 * }); // { type: "repeat", drawsOnBudget: true }
 * ```
 */
export function decideAfterAttempt(failedAttempt: FailedAttempt): RepeatDecision {
    if (
        failedAttempt.attemptsThatMayHaveRun >= failedAttempt.maximumAttempts || failedAttempt.failure === "timed-out"
    ) {
        return decideWithoutRetry(failedAttempt);
    }
    if (failedAttempt.isPassedOn) {
        return decideWithoutRetry(failedAttempt);
    }
    if (failedAttempt.rejectedSends > MAXIMUM_REJECTED_SENDS) {
        return decideWithoutRetry(failedAttempt);
    }
    if (provesNotRun(failedAttempt.failure)) {
        return { type: "repeat", drawsOnBudget: !provesNotSent(failedAttempt.failure) };
    }
    return mayRunAgain(failedAttempt.kind, failedAttempt.resumable)
        ? { type: "repeat", drawsOnBudget: true }
        : decideWithoutRetry(failedAttempt);
}
