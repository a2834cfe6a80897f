/**
 * Where a request goes for what is known of its fingerprint: the queue, a trial, or its final answer.
 *
 * @module
 */
import { endTrialOf } from "./_claims.js";
import { type Context, enqueue, leavePhase, refuse, releaseEngine } from "./_context.js";
import { type TrackedRequest } from "./_trackedRequest.js";

const BLOCKED_RETRY_MILLISECONDS = 10_000;

/** Queues a request, or sets it apart or refuses it where its fingerprint is under suspicion. */
export function placeByStanding(context: Context, tracked: TrackedRequest, notBeforeMilliseconds: number): void {
    const standing = context.quarantine.standing(tracked.request.fingerprint);
    if (standing === "clear") {
        enqueue(context, tracked, notBeforeMilliseconds);
        return;
    }
    if (standing === "suspect") {
        leavePhase(context, tracked);
        context.awaitingTrial.add(tracked);
        tracked.phase = "awaiting-trial";
        tracked.notBeforeMilliseconds = notBeforeMilliseconds;
        return;
    }
    refuseByStanding(context, tracked, standing);
}

/** Refuses a request for what is known of its fingerprint. */
export function refuseByStanding(context: Context, tracked: TrackedRequest, standing: "blocked" | "convicted"): void {
    if (standing === "convicted") {
        refuse(context, tracked, {
            reason: "request-crashes-engines",
            message: "Engines that ran this request crashed; it is not run again.",
        });
        return;
    }
    refuse(context, tracked, {
        reason: "upstream-failed",
        message: "Two engines were lost while they ran this request; it is not run until their state is known.",
        retryAfterMilliseconds: BLOCKED_RETRY_MILLISECONDS,
    });
}

/** Gives requests whose fingerprint changed its standing their place or their final answer. */
export function reviewStandings(context: Context): void {
    for (const tracked of [...context.requests.values()]) {
        const standing = context.quarantine.standing(tracked.request.fingerprint);
        const isStopped = standing === "convicted" || (standing === "blocked" && tracked.phase === "running");
        if (isStopped) {
            stopAttempt(context, tracked);
            refuseByStanding(context, tracked, standing);
        }
        else if (standing === "clear" && tracked.phase === "awaiting-trial") {
            endTrialOf(context, tracked);
            enqueue(context, tracked, context.nowMilliseconds);
        }
        else if (standing !== "clear" && tracked.phase === "queued") {
            placeByStanding(context, tracked, context.nowMilliseconds);
        }
    }
}

function stopAttempt(context: Context, tracked: TrackedRequest): void {
    if (tracked.phase === "running" && tracked.engine !== undefined) {
        const { attempts: attempt, engine, request } = tracked;
        tracked.mayHaveRun = true;
        context.effects.push({ type: "cancel-attempt", identifier: request.identifier, attempt, engine });
        releaseEngine(context, tracked);
    }
    endTrialOf(context, tracked);
}
