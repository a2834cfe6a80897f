/**
 * Handles the end of an attempt: with the final answer, a retry, or a wait for the crash determination of its engine.
 *
 * @module
 */
import { match } from "ts-pattern";
import { endTrialOf } from "./_claims.js";
import { addJitter, type Context, endRequest, enqueue, refuse, releaseSlot } from "./_context.js";
import { awaitVerdict, recordCancelledAttempt, recordFinishedSuspect } from "./_crashes.js";
import { placeByStatus } from "./_fingerprintStatus.js";
import { drawBackoffMilliseconds } from "./_retryBudget.js";
import { type TrackedRequest } from "./_trackedRequest.js";
import { type AttemptFailure, type RequestsMessage } from "./messages.js";

const MAXIMUM_ATTEMPTS = 6;
const MAXIMUM_URGENT_STARTED_ATTEMPTS = 3;
const UPSTREAM_FAILED_RETRY_DELAY_MILLISECONDS = 1_000;

type FirstTokenMessage = Extract<RequestsMessage, { type: "attempt-first-token"; }>;
type FinishedMessage = Extract<RequestsMessage, { type: "attempt-finished"; }>;
type FailedMessage = Extract<RequestsMessage, { type: "attempt-failed"; }>;

/** Returns the request whose current attempt has this number; `undefined` for earlier attempts, which are ignored. */
function findRunningRequest(context: Context, identifier: string, attempt: number): TrackedRequest | undefined {
    const tracked = context.requests.get(identifier);
    return tracked?.phase === "running" && tracked.attempts === attempt ? tracked : undefined;
}

/** Records an attempt's first token. */
export function handleFirstToken(context: Context, message: FirstTokenMessage): void {
    const tracked = findRunningRequest(context, message.identifier, message.attempt);
    if (tracked === undefined) {
        return;
    }
    tracked.mayHaveRun = true;
    tracked.firstTokenAtMilliseconds ??= context.nowMilliseconds;
    const tookMilliseconds = context.nowMilliseconds - tracked.dispatchedAtMilliseconds;
    context.serviceTimes.recordFirstToken(tracked.request.model, tookMilliseconds);
    if (tracked.engine !== undefined && tracked.request.class === "urgent") {
        const { slotShare } = context.view.get(tracked.engine);
        slotShare.recordFirstToken(tookMilliseconds / tracked.model.firstTokenMilliseconds, context.nowMilliseconds);
    }
}

/** Ends a request whose answer is complete. */
export function handleFinished(context: Context, message: FinishedMessage): void {
    const tracked = findRunningRequest(context, message.identifier, message.attempt);
    if (tracked === undefined) {
        return;
    }
    releaseSlot(context, tracked);
    context.serviceTimes.recordServiceTime(
        tracked.request.model,
        context.nowMilliseconds - tracked.dispatchedAtMilliseconds,
    );
    const firstTokenAt = tracked.firstTokenAtMilliseconds ?? context.nowMilliseconds;
    const answeredAt = tracked.request.class === "urgent" ? firstTokenAt : context.nowMilliseconds;
    endRequest(context, tracked, answeredAt <= tracked.deadlineMilliseconds);
    recordFinishedSuspect(context, tracked);
}

/** Retries, holds or refuses a request whose attempt failed. */
export function handleFailed(context: Context, message: FailedMessage): void {
    const tracked = findRunningRequest(context, message.identifier, message.attempt);
    if (tracked?.engine === undefined) {
        return;
    }
    releaseSlot(context, tracked);
    tracked.lastFailedEngine = tracked.engine;
    const isPossiblyStarted = message.deliveredTokens > tracked.deliveredTokens || mayHaveStarted(message.failure);
    tracked.deliveredTokens = Math.max(tracked.deliveredTokens, message.deliveredTokens);
    tracked.startedAttempts += isPossiblyStarted ? 1 : 0;
    tracked.mayHaveRun ||= isPossiblyStarted;
    tracked.retryReason = message.failure;
    recordEngineFailure(context, tracked, tracked.engine, message.failure);
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

function mayHaveStarted(failure: AttemptFailure): boolean {
    return match(failure)
        .with("connection-lost", "silent", "incomplete", () => true)
        .with("not-started", "engine-busy", "not-resident", "rejected", () => false)
        .exhaustive();
}

/** Marks an engine as unreachable, busy or missing a model, depending on the failure. */
function recordEngineFailure(context: Context, tracked: TrackedRequest, engine: string, failure: AttemptFailure): void {
    const { nowMilliseconds, view } = context;
    const { model, adapter } = tracked.request;
    match(failure)
        .with("not-started", "connection-lost", "silent", () => {
            view.markUnreachable(engine, nowMilliseconds);
            context.effects.push({ type: "probe-engine", engine });
        })
        .with("engine-busy", () => view.markBusy(engine, nowMilliseconds))
        .with(
            "not-resident",
            () => view.get(engine).reportedMissing.add(adapter === undefined ? model : `${model}:${adapter}`),
        )
        .with("incomplete", "rejected", () => undefined)
        .exhaustive();
}

/** Queues a request for a retry after its backoff, or refuses it where no further retry is allowed. */
export function retry(context: Context, tracked: TrackedRequest): void {
    const isPatient = tracked.request.class === "patient";
    const mayRetry = tracked.attempts < MAXIMUM_ATTEMPTS
        && (isPatient || tracked.startedAttempts < MAXIMUM_URGENT_STARTED_ATTEMPTS);
    tracked.awaitsRetryBudget = mayRetry && !context.budget.tryConsume(tracked.request.model, context.nowMilliseconds);
    if (!mayRetry || (tracked.awaitsRetryBudget && !isPatient)) {
        refuseAfterFailedAttempts(context, tracked);
        return;
    }
    const backoff = drawBackoffMilliseconds(tracked.attempts, context.random);
    placeByStatus(context, tracked, context.nowMilliseconds + backoff);
}

/** Refuses a request that is not retried again. */
export function refuseAfterFailedAttempts(context: Context, tracked: TrackedRequest): void {
    refuse(context, tracked, {
        reason: tracked.deliveredTokens > 0 ? "answer-incomplete" : "upstream-failed",
        message: `${tracked.attempts} attempts on engines failed.`,
        retryAfterMilliseconds: addJitter(context, UPSTREAM_FAILED_RETRY_DELAY_MILLISECONDS),
    });
}

/** Ends a request whose caller disconnected. */
export function handleCancel(context: Context, identifier: string): void {
    const tracked = context.requests.get(identifier);
    if (tracked === undefined) {
        return;
    }
    if (tracked.phase === "running" && tracked.engine !== undefined) {
        const { attempts: attempt, engine } = tracked;
        context.effects.push({ type: "cancel-attempt", identifier, attempt, engine });
        releaseSlot(context, tracked);
        recordCancelledAttempt(context, tracked);
    }
    endTrialOf(context, tracked);
    const firstTokenAt = tracked.firstTokenAtMilliseconds ?? Number.POSITIVE_INFINITY;
    endRequest(context, tracked, tracked.request.class === "urgent" && firstTokenAt <= tracked.deadlineMilliseconds);
}

/** Queues a request that has just been admitted; a suspect is held for a trial. */
export function queueAdmitted(context: Context, tracked: TrackedRequest): void {
    if (context.quarantine.statusOf(tracked.request.fingerprint) === "suspect") {
        placeByStatus(context, tracked, context.nowMilliseconds);
        return;
    }
    enqueue(context, tracked, context.nowMilliseconds);
}
