/**
 * Whether a request is sent again after a failed attempt, and what its caller is told otherwise.
 *
 * @module
 */
import { type RequestKind } from "../routes/index.js";
import { type AttemptFailure, provesNotRun } from "./types.js";

/** Sends that upstreams rejected without running the request, which one request may make beyond its attempts. */
const MOST_REJECTED_SENDS = 3;

/** Where a request stands after a failed attempt. */
export interface AttemptSituation {
    readonly kind: RequestKind;
    readonly resumable: boolean;
    readonly failure: AttemptFailure;
    /** Attempts so far that may have run, this one included. */
    readonly attemptsThatMayHaveRun: number;
    /** Sends so far that an upstream rejected, this one included. */
    readonly rejectedSends: number;
    readonly maximumAttempts: number;
    /** True once the caller has a part of the answer. */
    readonly answerBegun: boolean;
}

/** What to do after a failed attempt. */
export type RepeatDecision =
    /** Send it again, if the retry budget has room where one is needed. */
    | { readonly type: "repeat"; readonly drawsOnBudget: boolean; }
    /** Tell the caller that it has not run and never will. */
    | { readonly type: "refuse"; }
    /** Tell the caller that it failed, without a promise. */
    | { readonly type: "fail"; }
    /** Break the answer off, so that it does not look complete. */
    | { readonly type: "break-off"; };

/**
 * Tells whether requests of a route may run more than once.
 *
 * @param kind The route's kind.
 * @param resumable Whether its streams can be resumed.
 */
export function mayRunAgain(kind: RequestKind, resumable: boolean): boolean {
    return kind === "idempotent" || (kind === "event-stream" && resumable);
}

/**
 * Tells what follows where a request is not repeated, or a repeat was decided and cannot be made.
 *
 * @param situation The request's kind and its attempts so far.
 */
export function giveUp(situation: AttemptSituation): RepeatDecision {
    if (situation.answerBegun) {
        return { type: "break-off" };
    }
    return { type: situation.attemptsThatMayHaveRun === 0 ? "refuse" : "fail" };
}

/**
 * Decides what follows a failed attempt.
 *
 * @param situation The request's kind and its attempts so far.
 * @returns What to do; a repeat that finds no room in the budget is given up by {@linkcode giveUp}.
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
 * }); // { type: "repeat", drawsOnBudget: true }
 * ```
 */
export function decideAfterAttempt(situation: AttemptSituation): RepeatDecision {
    if (situation.attemptsThatMayHaveRun >= situation.maximumAttempts || situation.failure === "timed-out") {
        return giveUp(situation);
    }
    if (situation.rejectedSends > MOST_REJECTED_SENDS) {
        return giveUp(situation);
    }
    if (provesNotRun(situation.failure)) {
        return { type: "repeat", drawsOnBudget: situation.failure !== "not-connected" };
    }
    return mayRunAgain(situation.kind, situation.resumable)
        ? { type: "repeat", drawsOnBudget: true }
        : giveUp(situation);
}
