/**
 * Whether a request can be served within its target, and when its caller should come back.
 *
 * @module
 */
import { match } from "ts-pattern";
import { type Context, type RefusalDetails, spread } from "./_context.js";
import { findRoute, listCopies } from "./_routing.js";
import { type TrackedRequest } from "./_trackedRequest.js";

const SHORTEST_RETRY_MILLISECONDS = 250;
const PATIENT_RETRY_MILLISECONDS = 30_000;
const NO_COPY_RETRY_MILLISECONDS = 2_000;
const URGENT_RESERVE_SHARE = 0.25;
const MOST_FIRST_TOKEN_SHARE = 0.5;

/**
 * Judges a request that has just arrived.
 *
 * @param context State of the decision.
 * @param tracked The request.
 * @returns The refusal, or `undefined` where the request may wait or run.
 */
export function judgeAdmission(context: Context, tracked: TrackedRequest): RefusalDetails | undefined {
    const { queue, queuedRequests } = context;
    const queued = queue.count("urgent") + queue.count("patient");
    if (queued >= queuedRequests) {
        return queueFull(context, tracked);
    }
    if (tracked.request.class === "patient") {
        const patientPlaces = Math.floor(queuedRequests * (1 - URGENT_RESERVE_SHARE));
        return queue.count("patient") >= patientPlaces ? queueFull(context, tracked) : undefined;
    }
    return match(findRoute(context, tracked).type)
        .with("engine", "no-adapter", () => undefined)
        .with("no-copy", () => judgeMissingCopy(context, tracked))
        .with("no-room", () => judgeWait(context, tracked))
        .exhaustive();
}

function queueFull(context: Context, tracked: TrackedRequest): RefusalDetails {
    const wait = tracked.request.class === "patient" ? PATIENT_RETRY_MILLISECONDS : estimateWait(context, tracked);
    return {
        reason: "queue-full",
        message: "This host's queue is full.",
        retryAfterMilliseconds: spread(context, Math.max(SHORTEST_RETRY_MILLISECONDS, wait)),
    };
}

/** Lets requests wait while this host has heard of no copies at all, as it does just after its start. */
function judgeMissingCopy(context: Context, tracked: TrackedRequest): RefusalDetails | undefined {
    const engines = context.catalog?.listEngines(tracked.request.model) ?? [];
    const heardOfAny = engines.some(engine => context.view.get(engine.name).residency !== undefined);
    return heardOfAny ? noCopyReady(context, tracked) : undefined;
}

/** Describes that no engine has a copy now. */
export function noCopyReady(context: Context, tracked: TrackedRequest): RefusalDetails {
    return {
        reason: "no-copy-ready",
        message: `No engine has a copy of ${tracked.request.model} ready.`,
        retryAfterMilliseconds: spread(context, NO_COPY_RETRY_MILLISECONDS),
    };
}

function judgeWait(context: Context, tracked: TrackedRequest): RefusalDetails | undefined {
    const dispatchedAt = context.nowMilliseconds + estimateWait(context, tracked);
    return dispatchedAt <= latestDispatch(context, tracked) ? undefined : targetCannotBeMet(context, tracked);
}

/** Tells until when an urgent request has to be at an engine to keep its target, as far as its model's past shows. */
export function latestDispatch(context: Context, tracked: TrackedRequest): number {
    const longest = tracked.model.firstTokenMilliseconds * MOST_FIRST_TOKEN_SHARE;
    return tracked.deadlineMilliseconds - Math.min(context.times.firstToken(tracked.request.model), longest);
}

/** Describes that the first token would come too late. */
export function targetCannotBeMet(context: Context, tracked: TrackedRequest): RefusalDetails {
    const wait = estimateWait(context, tracked);
    return {
        reason: "target-cannot-be-met",
        message: `All copies of ${tracked.request.model} are busy.`,
        retryAfterMilliseconds: spread(context, Math.max(SHORTEST_RETRY_MILLISECONDS, wait)),
    };
}

/** Estimates when an urgent request behind all others of its model would be dispatched. */
function estimateWait(context: Context, tracked: TrackedRequest): number {
    const { model, adapter } = tracked.request;
    const engines = listCopies(context, model, adapter);
    const slots = engines.reduce((sum, engine) => sum + engine.slots, 0);
    const own = engines.reduce((sum, engine) => sum + context.view.get(engine.name).ownAttempts, 0);
    const shareOfSlots = Math.max(1, own, slots / (context.peers.length + 1));
    const ahead = context.queue.list(model, "urgent").length;
    return (ahead + 1) * context.times.hold(model) / shareOfSlots;
}
