/**
 * What follows from the end of an attempt: the final answer, another attempt, or the wait for a verdict on its engine.
 *
 * @module
 */
import { match } from "ts-pattern";
import { endTrialOf } from "./_claims.js";
import { type Context, end, enqueue, refuse, releaseEngine, spread } from "./_context.js";
import { awaitVerdict, recordFinishedSuspect, rememberStopped } from "./_crashes.js";
import { drawBackoffMilliseconds } from "./_retryBudget.js";
import { placeByStanding } from "./_standings.js";
import { type TrackedRequest } from "./_trackedRequest.js";
import { type AttemptFailure, type RequestsMessage } from "./messages.js";

const MOST_ATTEMPTS = 6;
const MOST_TAKEN_URGENT = 3;
const UPSTREAM_FAILED_RETRY_MILLISECONDS = 1_000;

type FirstToken = Extract<RequestsMessage, { type: "attempt-first-token"; }>;
type Finished = Extract<RequestsMessage, { type: "attempt-finished"; }>;
type Failed = Extract<RequestsMessage, { type: "attempt-failed"; }>;

/** Finds the request whose current attempt a message is about; older attempts no longer matter. */
function findRunning(context: Context, identifier: string, attempt: number): TrackedRequest | undefined {
    const tracked = context.requests.get(identifier);
    return tracked?.phase === "running" && tracked.attempts === attempt ? tracked : undefined;
}

/** Notes an attempt's first token. */
export function handleFirstToken(context: Context, message: FirstToken): void {
    const tracked = findRunning(context, message.identifier, message.attempt);
    if (tracked === undefined) {
        return;
    }
    tracked.mayHaveRun = true;
    tracked.firstTokenAtMilliseconds ??= context.nowMilliseconds;
    const tookMilliseconds = context.nowMilliseconds - tracked.dispatchedAtMilliseconds;
    context.times.recordFirstToken(tracked.request.model, tookMilliseconds);
    if (tracked.engine !== undefined && tracked.request.class === "urgent") {
        const { pace } = context.view.get(tracked.engine);
        pace.recordFirstToken(tookMilliseconds / tracked.model.firstTokenMilliseconds, context.nowMilliseconds);
    }
}

/** Ends a request whose answer is whole. */
export function handleFinished(context: Context, message: Finished): void {
    const tracked = findRunning(context, message.identifier, message.attempt);
    if (tracked === undefined) {
        return;
    }
    releaseEngine(context, tracked);
    context.times.recordHold(tracked.request.model, context.nowMilliseconds - tracked.dispatchedAtMilliseconds);
    const firstTokenAt = tracked.firstTokenAtMilliseconds ?? context.nowMilliseconds;
    const answeredAt = tracked.request.class === "urgent" ? firstTokenAt : context.nowMilliseconds;
    end(context, tracked, answeredAt <= tracked.deadlineMilliseconds);
    recordFinishedSuspect(context, tracked);
}

/** Decides what follows a failed attempt. */
export function handleFailed(context: Context, message: Failed): void {
    const tracked = findRunning(context, message.identifier, message.attempt);
    if (tracked?.engine === undefined) {
        return;
    }
    releaseEngine(context, tracked);
    tracked.failedEngine = tracked.engine;
    const isTaken = message.deliveredTokens > tracked.deliveredTokens || mayRunBefore(message.failure);
    tracked.deliveredTokens = Math.max(tracked.deliveredTokens, message.deliveredTokens);
    tracked.taken += isTaken ? 1 : 0;
    tracked.mayHaveRun ||= isTaken;
    tracked.retryReason = message.failure;
    noteOnEngine(context, tracked, tracked.engine, message.failure);
    if (message.failure === "connection-lost" || message.failure === "silent") {
        awaitVerdict(context, tracked);
        return;
    }
    endTrialOf(context, tracked);
    if (message.failure === "rejected") {
        refuse(context, tracked, { reason: "invalid-request", message: "The engine found the request invalid." });
        return;
    }
    retry(context, tracked);
}

function mayRunBefore(failure: AttemptFailure): boolean {
    return match(failure)
        .with("connection-lost", "silent", "incomplete", () => true)
        .with("not-started", "engine-busy", "not-resident", "rejected", () => false)
        .exhaustive();
}

/** Remembers what a failure says of its engine. */
function noteOnEngine(context: Context, tracked: TrackedRequest, engine: string, failure: AttemptFailure): void {
    const { nowMilliseconds, view } = context;
    const { model, adapter } = tracked.request;
    match(failure)
        .with("not-started", "connection-lost", "silent", () => {
            view.markUnreachable(engine, nowMilliseconds);
            context.effects.push({ type: "probe-engine", engine });
        })
        .with("engine-busy", () => view.markBusy(engine, nowMilliseconds))
        .with("not-resident", () => view.get(engine).missing.add(adapter === undefined ? model : `${model}:${adapter}`))
        .with("incomplete", "rejected", () => undefined)
        .exhaustive();
}

/** Queues a request for another attempt after its backoff, or gives it up. */
export function retry(context: Context, tracked: TrackedRequest): void {
    const isPatient = tracked.request.class === "patient";
    const mayTryAgain = tracked.attempts < MOST_ATTEMPTS && (isPatient || tracked.taken < MOST_TAKEN_URGENT);
    tracked.needsBudget = mayTryAgain && !context.budget.tryTake(tracked.request.model, context.nowMilliseconds);
    if (!mayTryAgain || (tracked.needsBudget && !isPatient)) {
        giveUp(context, tracked);
        return;
    }
    const backoff = drawBackoffMilliseconds(tracked.attempts, context.random);
    placeByStanding(context, tracked, context.nowMilliseconds + backoff);
}

/** Refuses a request that no further attempt is made for. */
export function giveUp(context: Context, tracked: TrackedRequest): void {
    refuse(context, tracked, {
        reason: tracked.deliveredTokens > 0 ? "answer-incomplete" : "upstream-failed",
        message: `${tracked.attempts} attempts on engines failed.`,
        retryAfterMilliseconds: spread(context, UPSTREAM_FAILED_RETRY_MILLISECONDS),
    });
}

/** Ends a request whose caller has gone. */
export function handleCancel(context: Context, identifier: string): void {
    const tracked = context.requests.get(identifier);
    if (tracked === undefined) {
        return;
    }
    if (tracked.phase === "running" && tracked.engine !== undefined) {
        const { attempts: attempt, engine } = tracked;
        context.effects.push({ type: "cancel-attempt", identifier, attempt, engine });
        releaseEngine(context, tracked);
        rememberStopped(context, tracked);
    }
    endTrialOf(context, tracked);
    const firstTokenAt = tracked.firstTokenAtMilliseconds ?? Number.POSITIVE_INFINITY;
    end(context, tracked, tracked.request.class === "urgent" && firstTokenAt <= tracked.deadlineMilliseconds);
}

/** Queues a request that has just been admitted. */
export function startWaiting(context: Context, tracked: TrackedRequest): void {
    if (context.quarantine.standing(tracked.request.fingerprint) === "suspect") {
        placeByStanding(context, tracked, context.nowMilliseconds);
        return;
    }
    enqueue(context, tracked, context.nowMilliseconds);
}
