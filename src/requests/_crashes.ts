/**
 * Attributes engine crashes to the requests in flight, and determines whether a lost connection was a crash.
 *
 * @module
 */
import { type EngineDigest, type SuspectDigest } from "../generated/peers.js";
import { claimRunningSuspects, endTrialOf } from "./_claims.js";
import { type CancelledAttempt, clearPhase, type Context, hasCrashed, markInFlight } from "./_context.js";
import { applyStatusChanges, placeByStatus } from "./_fingerprintStatus.js";
import { type TrackedRequest } from "./_trackedRequest.js";

/** Maximum wait for a report of an engine whose connection was lost. */
export const VERDICT_WAIT_MILLISECONDS = 1_500;
/** A report clears a cancelled trial only if it was observed at least this long after the cancellation. */
const CANCELLED_TRIAL_SETTLE_MILLISECONDS = 500;
const CANCELLED_ATTEMPT_RETENTION_MILLISECONDS = 10_000;

/** Returns the name of an engine incarnation's crash in digests. */
export function nameCrash(engine: string, incarnation: string): string {
    return `${engine}/${incarnation}`;
}

/**
 * Holds a request whose connection was lost until it is known whether its engine crashed. Until then the crash counts
 * as unconfirmed.
 */
export function awaitVerdict(context: Context, tracked: TrackedRequest): void {
    clearPhase(context, tracked);
    context.awaitingVerdict.add(tracked);
    markInFlight(context, tracked);
    tracked.phase = "awaiting-verdict";
    tracked.awaitingVerdictSinceMilliseconds = context.nowMilliseconds;
    const crash = nameCrash(tracked.engine ?? "", tracked.incarnation ?? "");
    if (hasCrashed(context, tracked)) {
        context.quarantine.recordCrash(tracked.request.fingerprint, crash);
        releaseAfterCrash(context, tracked);
        applyStatusChanges(context);
        return;
    }
    context.quarantine.presumeCrash(tracked.request.fingerprint, crash, context.nowMilliseconds);
    applyStatusChanges(context);
}

/** Records the crash of an engine process; repeated reports of one crash count once. */
export function handleCrash(context: Context, engine: string, incarnation: string): void {
    context.view.recordEnd(engine, incarnation);
    attributeCrash(context, engine, incarnation);
}

/** Counts a crash against all requests that were in flight there, by this host's records and peers' claims. */
export function attributeCrash(context: Context, engine: string, incarnation: string): void {
    const crash = nameCrash(engine, incarnation);
    context.quarantine.confirmPresumptions(crash);
    const inFlight = [...context.requests.values()].filter(tracked =>
        tracked.engine === engine && tracked.incarnation === incarnation
        && (tracked.phase === "running" || tracked.phase === "awaiting-verdict")
    );
    for (const tracked of inFlight) {
        attributeCrashToRequest(context, tracked, crash);
    }
    for (const cancelled of listCancelledAttempts(context)) {
        if (cancelled.engine === engine && cancelled.incarnation === incarnation) {
            context.quarantine.recordCrash(cancelled.fingerprint, crash);
        }
    }
    for (const claim of context.trials.listOn(engine, context.nowMilliseconds)) {
        if (claim.state === "running" && claim.incarnation === incarnation) {
            context.quarantine.recordCrash(claim.fingerprint, crash);
        }
    }
    for (const tracked of inFlight) {
        if (tracked.phase === "awaiting-verdict") {
            releaseAfterCrash(context, tracked);
        }
    }
    applyStatusChanges(context);
}

/**
 * Counts a crash against a request. A request dispatched after the process was last seen alive may run on its
 * successor: while its connection is open, the crash counts as unconfirmed, and not at all against a trial, which no
 * host retries meanwhile.
 */
function attributeCrashToRequest(context: Context, tracked: TrackedRequest, crash: string): void {
    const { engine = "", incarnation = "", request } = tracked;
    const lastSeenAliveAt = context.view.lastSeenAliveMilliseconds(engine, incarnation);
    if (tracked.phase === "awaiting-verdict" || tracked.dispatchedAtMilliseconds <= lastSeenAliveAt) {
        context.quarantine.recordCrash(request.fingerprint, crash);
    }
    else if (tracked.trialIdentifier === undefined) {
        context.quarantine.presumeCrash(request.fingerprint, crash, context.nowMilliseconds);
    }
}

/**
 * Records for a limited time that a cancelled attempt may still be running on its engine. A cancelled trial counts as
 * an unconfirmed crash until its engine is seen alive afterwards.
 */
export function recordCancelledAttempt(context: Context, tracked: TrackedRequest): void {
    const { engine, incarnation, request } = tracked;
    if (engine === undefined) {
        return;
    }
    if (tracked.trialIdentifier !== undefined) {
        const presumedFrom = context.nowMilliseconds + CANCELLED_TRIAL_SETTLE_MILLISECONDS;
        context.quarantine.presumeCrash(request.fingerprint, nameCrash(engine, incarnation ?? ""), presumedFrom);
    }
    const { fingerprint } = request;
    const cancelled = { fingerprint, engine, incarnation, cancelledAtMilliseconds: context.nowMilliseconds };
    context.cancelledAttempts = [...listCancelledAttempts(context), cancelled];
}

function listCancelledAttempts(context: Context): readonly CancelledAttempt[] {
    const since = context.nowMilliseconds - CANCELLED_ATTEMPT_RETENTION_MILLISECONDS;
    return context.cancelledAttempts.filter(cancelled => cancelled.cancelledAtMilliseconds > since);
}

/** Releases a request whose engine crashed. Crashes have a limit of their own and do not count as started attempts. */
function releaseAfterCrash(context: Context, tracked: TrackedRequest): void {
    tracked.retryReason = "engine-crashed";
    tracked.startedAttempts -= 1;
    endTrialOf(context, tracked);
    placeByStatus(context, tracked, context.nowMilliseconds);
}

/** Retries requests that lost their connection to a process that was seen alive since. */
export function releaseAfterLiveReport(
    context: Context,
    digest: EngineDigest,
    retry: (tracked: TrackedRequest) => void,
): void {
    const observedAt = context.nowMilliseconds - digest.observedMillisecondsAgo;
    context.quarantine.withdrawPresumptions(nameCrash(digest.engine, digest.incarnation), observedAt);
    for (const tracked of [...context.awaitingVerdict]) {
        const isAffected = tracked.engine === digest.engine && tracked.incarnation === digest.incarnation
            && tracked.awaitingVerdictSinceMilliseconds < observedAt;
        if (isAffected) {
            endTrialOf(context, tracked);
            retry(tracked);
        }
    }
}

/** Retries requests whose engine shut down gracefully and restarted. */
export function releaseAfterRestart(
    context: Context,
    digest: EngineDigest,
    retry: (tracked: TrackedRequest) => void,
): void {
    for (const tracked of [...context.awaitingVerdict]) {
        const isAffected = tracked.engine === digest.engine && tracked.incarnation !== digest.incarnation;
        if (isAffected) {
            endTrialOf(context, tracked);
            retry(tracked);
        }
    }
}

/** Releases requests whose engine did not report in time; its crash stays unconfirmed. */
export function expireVerdictWaits(context: Context): void {
    const overdue = [...context.awaitingVerdict].filter(tracked =>
        context.nowMilliseconds - tracked.awaitingVerdictSinceMilliseconds >= VERDICT_WAIT_MILLISECONDS
    );
    for (const tracked of overdue) {
        releaseAfterCrash(context, tracked);
    }
}

/** Clears a fingerprint that an engine has executed to the end. */
export function recordFinishedSuspect(context: Context, tracked: TrackedRequest): void {
    endTrialOf(context, tracked);
    if (context.quarantine.recordFinished(tracked.request.fingerprint)) {
        applyStatusChanges(context);
    }
}

/** Merges peers' digests of suspects and records their claims for trials. */
export function handleSuspects(context: Context, digests: readonly SuspectDigest[]): void {
    let isChanged = false;
    for (const digest of digests) {
        isChanged = context.quarantine.merge(digest, context.nowMilliseconds) || isChanged;
        if (digest.trial !== undefined) {
            context.trials.recordPeerClaim(digest.fingerprint, digest.trial, context.nowMilliseconds);
        }
    }
    if (isChanged) {
        applyStatusChanges(context);
        claimRunningSuspects(context);
    }
}
