/**
 * Decides whether a request can be served within its target, and when a refused caller should retry.
 *
 * @module
 */
import { match } from "ts-pattern";
import { addJitter, type Context, type RefusalDetails } from "./_context.js";
import { findRoute, listCopies } from "./_routing.js";
import { type TrackedRequest } from "./_trackedRequest.js";

const MINIMUM_RETRY_DELAY_MILLISECONDS = 250;
const PATIENT_RETRY_DELAY_MILLISECONDS = 30_000;
const NO_COPY_RETRY_DELAY_MILLISECONDS = 2_000;
const URGENT_QUEUE_RESERVE_SHARE = 0.25;
const MAXIMUM_FIRST_TOKEN_SHARE = 0.5;

/**
 * Decides whether to admit a request that has just arrived.
 *
 * @param context State of the decision.
 * @param tracked The request.
 * @returns The refusal, or `undefined` where the request may wait or run.
 */
export function checkAdmission(context: Context, tracked: TrackedRequest): RefusalDetails | undefined {
    const { queue, maximumQueuedRequests } = context;
    const queued = queue.count("urgent") + queue.count("patient");
    if (queued >= maximumQueuedRequests) {
        return queueFull(context, tracked);
    }
    if (tracked.request.class === "patient") {
        const maximumPatientRequests = Math.floor(maximumQueuedRequests * (1 - URGENT_QUEUE_RESERVE_SHARE));
        return queue.count("patient") >= maximumPatientRequests ? queueFull(context, tracked) : undefined;
    }
    return match(findRoute(context, tracked).type)
        .with("engine", "no-adapter", () => undefined)
        .with("no-copy", () => checkMissingCopy(context, tracked))
        .with("no-room", () => checkWait(context, tracked))
        .exhaustive();
}

function queueFull(context: Context, tracked: TrackedRequest): RefusalDetails {
    const waitMilliseconds = tracked.request.class === "patient"
        ? PATIENT_RETRY_DELAY_MILLISECONDS
        : estimateWaitMilliseconds(context, tracked);
    return {
        reason: "queue-full",
        message: "This host's queue is full.",
        retryAfterMilliseconds: addJitter(context, Math.max(MINIMUM_RETRY_DELAY_MILLISECONDS, waitMilliseconds)),
    };
}

/**
 * Refuses a request without a ready copy. While this host has no residency digest of any engine of the model, as just
 * after its start, the request waits instead.
 */
function checkMissingCopy(context: Context, tracked: TrackedRequest): RefusalDetails | undefined {
    const engines = context.catalog?.listEngines(tracked.request.model) ?? [];
    const hasAnyResidency = engines.some(engine => context.view.get(engine.name).residency !== undefined);
    return hasAnyResidency ? noCopyReady(context, tracked) : undefined;
}

/** Returns the refusal of a request whose model has no ready copy. */
export function noCopyReady(context: Context, tracked: TrackedRequest): RefusalDetails {
    return {
        reason: "no-copy-ready",
        message: `No engine has a copy of ${tracked.request.model} ready.`,
        retryAfterMilliseconds: addJitter(context, NO_COPY_RETRY_DELAY_MILLISECONDS),
    };
}

function checkWait(context: Context, tracked: TrackedRequest): RefusalDetails | undefined {
    const dispatchedAt = context.nowMilliseconds + estimateWaitMilliseconds(context, tracked);
    return dispatchedAt <= urgentDispatchDeadline(context, tracked) ? undefined : targetCannotBeMet(context, tracked);
}

/** Returns when an urgent request must be dispatched at the latest, by its target and its model's first-token times. */
export function urgentDispatchDeadline(context: Context, tracked: TrackedRequest): number {
    const maximumMilliseconds = tracked.model.firstTokenMilliseconds * MAXIMUM_FIRST_TOKEN_SHARE;
    return tracked.deadlineMilliseconds
        - Math.min(context.serviceTimes.estimateFirstTokenMilliseconds(tracked.request.model), maximumMilliseconds);
}

/** Returns the refusal of a request whose first token would miss its target. */
export function targetCannotBeMet(context: Context, tracked: TrackedRequest): RefusalDetails {
    const waitMilliseconds = estimateWaitMilliseconds(context, tracked);
    return {
        reason: "target-cannot-be-met",
        message: `All copies of ${tracked.request.model} are busy.`,
        retryAfterMilliseconds: addJitter(context, Math.max(MINIMUM_RETRY_DELAY_MILLISECONDS, waitMilliseconds)),
    };
}

/** Estimates how long an urgent request would wait behind all queued urgent ones of its model. */
function estimateWaitMilliseconds(context: Context, tracked: TrackedRequest): number {
    const { model, adapter } = tracked.request;
    const engines = listCopies(context, model, adapter);
    const slots = engines.reduce((sum, engine) => sum + engine.slots, 0);
    const ownAttempts = engines.reduce((sum, engine) => sum + context.view.get(engine.name).ownAttempts, 0);
    const shareOfSlots = Math.max(1, ownAttempts, slots / (context.peers.length + 1));
    const queuedAhead = context.queue.list(model, "urgent").length;
    return (queuedAhead + 1) * context.serviceTimes.estimateServiceMilliseconds(model) / shareOfSlots;
}
