/**
 * Crashes of engines: who was in flight, and verdicts on lost connections.
 *
 * @module
 */
import { type EngineDigest, type SuspectDigest } from "../generated/peers.js";
import { claimRunningSuspects, endTrialOf } from "./_claims.js";
import { type Context, hasCrashed, leavePhase, markInFlight, type StoppedAttempt } from "./_context.js";
import { placeByStanding, reviewStandings } from "./_standings.js";
import { type TrackedRequest } from "./_trackedRequest.js";

/** Longest wait for news of an engine whose connection was lost. */
export const VERDICT_WAIT_MILLISECONDS = 1_500;
const CANCEL_SETTLE_MILLISECONDS = 500;
const STOPPED_KEPT_MILLISECONDS = 10_000;

/** Names an engine incarnation as digests do. */
export function nameCrash(engine: string, incarnation: string): string {
    return `${engine}/${incarnation}`;
}

/** Holds a request whose connection was lost until it is known whether its engine crashed, which is presumed. */
export function awaitVerdict(context: Context, tracked: TrackedRequest): void {
    leavePhase(context, tracked);
    context.awaitingVerdict.add(tracked);
    markInFlight(context, tracked);
    tracked.phase = "awaiting-verdict";
    tracked.waitsSinceMilliseconds = context.nowMilliseconds;
    const crash = nameCrash(tracked.engine ?? "", tracked.incarnation ?? "");
    if (hasCrashed(context, tracked)) {
        context.quarantine.recordCrash(tracked.request.fingerprint, crash);
        settleCrashed(context, tracked);
        reviewStandings(context);
        return;
    }
    context.quarantine.presumeCrash(tracked.request.fingerprint, crash, context.nowMilliseconds);
    reviewStandings(context);
}

/** Takes in that an engine process crashed, once. */
export function handleCrash(context: Context, engine: string, incarnation: string): void {
    context.view.recordEnd(engine, incarnation);
    accuseInFlight(context, engine, incarnation);
}

/** Counts the crash against all requests that were in flight there, here and by the claims of peers. */
export function accuseInFlight(context: Context, engine: string, incarnation: string): void {
    const crash = nameCrash(engine, incarnation);
    context.quarantine.confirmPresumptions(crash);
    const involved = [...context.requests.values()].filter(tracked =>
        tracked.engine === engine && tracked.incarnation === incarnation
        && (tracked.phase === "running" || tracked.phase === "awaiting-verdict")
    );
    for (const tracked of involved) {
        accuse(context, tracked, crash);
    }
    for (const stopped of listStopped(context)) {
        if (stopped.engine === engine && stopped.incarnation === incarnation) {
            context.quarantine.recordCrash(stopped.fingerprint, crash);
        }
    }
    for (const claim of context.trials.listOn(engine, context.nowMilliseconds)) {
        if (claim.state === "running" && claim.incarnation === incarnation) {
            context.quarantine.recordCrash(claim.fingerprint, crash);
        }
    }
    for (const tracked of involved) {
        if (tracked.phase === "awaiting-verdict") {
            settleCrashed(context, tracked);
        }
    }
    reviewStandings(context);
}

/**
 * Counts a crash against a request. One that was sent after the process was last seen may run on its successor: while
 * its connection stands the crash is only presumed, and not against a trial, which nobody repeats meanwhile.
 */
function accuse(context: Context, tracked: TrackedRequest, crash: string): void {
    const { engine = "", incarnation = "", request } = tracked;
    const seenAt = context.view.lastSeen(engine, incarnation);
    if (tracked.phase === "awaiting-verdict" || tracked.dispatchedAtMilliseconds <= seenAt) {
        context.quarantine.recordCrash(request.fingerprint, crash);
    }
    else if (tracked.trialIdentifier === undefined) {
        context.quarantine.presumeCrash(request.fingerprint, crash, context.nowMilliseconds);
    }
}

/**
 * Remembers for a while that a cancelled attempt may still be at its engine. A cancelled trial is presumed to have
 * crashed its engine until that is seen alive afterwards.
 */
export function rememberStopped(context: Context, tracked: TrackedRequest): void {
    const { engine, incarnation, request } = tracked;
    if (engine === undefined) {
        return;
    }
    if (tracked.trialIdentifier !== undefined) {
        const settledAt = context.nowMilliseconds + CANCEL_SETTLE_MILLISECONDS;
        context.quarantine.presumeCrash(request.fingerprint, nameCrash(engine, incarnation ?? ""), settledAt);
    }
    const { fingerprint } = request;
    const stopped = { fingerprint, engine, incarnation, atMilliseconds: context.nowMilliseconds };
    context.stopped = [...listStopped(context), stopped];
}

function listStopped(context: Context): readonly StoppedAttempt[] {
    const since = context.nowMilliseconds - STOPPED_KEPT_MILLISECONDS;
    return context.stopped.filter(stopped => stopped.atMilliseconds > since);
}

/** Ends the wait of a request whose engine crashed; crashes are bounded by themselves and not as attempts. */
function settleCrashed(context: Context, tracked: TrackedRequest): void {
    tracked.retryReason = "engine-crashed";
    tracked.taken -= 1;
    endTrialOf(context, tracked);
    placeByStanding(context, tracked, context.nowMilliseconds);
}

/** Releases requests that lost only their connection to a process that has been heard of since. */
export function settleAlive(context: Context, digest: EngineDigest, retry: (tracked: TrackedRequest) => void): void {
    const observedAt = context.nowMilliseconds - digest.observedMillisecondsAgo;
    context.quarantine.withdrawPresumptions(nameCrash(digest.engine, digest.incarnation), observedAt);
    for (const tracked of [...context.awaitingVerdict]) {
        const isConcerned = tracked.engine === digest.engine && tracked.incarnation === digest.incarnation
            && tracked.waitsSinceMilliseconds < observedAt;
        if (isConcerned) {
            endTrialOf(context, tracked);
            retry(tracked);
        }
    }
}

/** Releases requests whose engine left in order and started again. */
export function settleRestarted(
    context: Context,
    digest: EngineDigest,
    retry: (tracked: TrackedRequest) => void,
): void {
    for (const tracked of [...context.awaitingVerdict]) {
        const isConcerned = tracked.engine === digest.engine && tracked.incarnation !== digest.incarnation;
        if (isConcerned) {
            endTrialOf(context, tracked);
            retry(tracked);
        }
    }
}

/** Stops waiting for a verdict where an engine was not heard of in time; its crash stays presumed. */
export function presumeOverdue(context: Context): void {
    const overdue = [...context.awaitingVerdict].filter(tracked =>
        context.nowMilliseconds - tracked.waitsSinceMilliseconds >= VERDICT_WAIT_MILLISECONDS
    );
    for (const tracked of overdue) {
        settleCrashed(context, tracked);
    }
}

/** Clears a fingerprint that an engine has run to its end. */
export function recordFinishedSuspect(context: Context, tracked: TrackedRequest): void {
    endTrialOf(context, tracked);
    if (context.quarantine.recordFinished(tracked.request.fingerprint)) {
        reviewStandings(context);
    }
}

/** Takes in what peers know of suspects and claim for their trials. */
export function handleSuspects(context: Context, digests: readonly SuspectDigest[]): void {
    let isNews = false;
    for (const digest of digests) {
        isNews = context.quarantine.merge(digest, context.nowMilliseconds) || isNews;
        if (digest.trial !== undefined) {
            context.trials.hear(digest.fingerprint, digest.trial, context.nowMilliseconds);
        }
    }
    if (isNews) {
        reviewStandings(context);
        claimRunningSuspects(context);
    }
}
