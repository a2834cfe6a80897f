/**
 * Queues, holds for a trial, or refuses a request by the status of its fingerprint.
 *
 * @module
 */
import { endTrialOf } from "./_claims.js";
import { clearPhase, type Context, enqueue, refuse, releaseSlot } from "./_context.js";
import { type TrackedRequest } from "./_trackedRequest.js";

const BLOCKED_RETRY_DELAY_MILLISECONDS = 10_000;

/** Queues a request, holds a suspect for a trial, or refuses a `blocked` or `convicted` one. */
export function placeByStatus(context: Context, tracked: TrackedRequest, notBeforeMilliseconds: number): void {
    const status = context.quarantine.statusOf(tracked.request.fingerprint);
    if (status === "clear") {
        enqueue(context, tracked, notBeforeMilliseconds);
        return;
    }
    if (status === "suspect") {
        clearPhase(context, tracked);
        context.awaitingTrial.add(tracked);
        tracked.phase = "awaiting-trial";
        tracked.notBeforeMilliseconds = notBeforeMilliseconds;
        return;
    }
    refuseByStatus(context, tracked, status);
}

/** Refuses a request because of its fingerprint's crash history. */
export function refuseByStatus(context: Context, tracked: TrackedRequest, status: "blocked" | "convicted"): void {
    if (status === "convicted") {
        refuse(context, tracked, {
            reason: "request-crashes-engines",
            message: "Engines that ran this request crashed; it is not run again.",
        });
        return;
    }
    refuse(context, tracked, {
        reason: "upstream-failed",
        message: "Two engines were lost while they ran this request; it is not run until their state is known.",
        retryAfterMilliseconds: BLOCKED_RETRY_DELAY_MILLISECONDS,
    });
}

/** Requeues, holds or refuses requests whose fingerprint changed its status. */
export function applyStatusChanges(context: Context): void {
    for (const tracked of [...context.requests.values()]) {
        const status = context.quarantine.statusOf(tracked.request.fingerprint);
        const isRefused = status === "convicted" || (status === "blocked" && tracked.phase === "running");
        if (isRefused) {
            cancelAttempt(context, tracked);
            refuseByStatus(context, tracked, status);
        }
        else if (status === "clear" && tracked.phase === "awaiting-trial") {
            endTrialOf(context, tracked);
            enqueue(context, tracked, context.nowMilliseconds);
        }
        else if (status !== "clear" && tracked.phase === "queued") {
            placeByStatus(context, tracked, context.nowMilliseconds);
        }
    }
}

function cancelAttempt(context: Context, tracked: TrackedRequest): void {
    if (tracked.phase === "running" && tracked.engine !== undefined) {
        const { attempts: attempt, engine, request } = tracked;
        tracked.mayHaveRun = true;
        context.effects.push({ type: "cancel-attempt", identifier: request.identifier, attempt, engine });
        releaseSlot(context, tracked);
    }
    endTrialOf(context, tracked);
}
