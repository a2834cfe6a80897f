/**
 * Crashes of engines: who was in flight, verdicts on lost connections, and trials of suspects.
 *
 * @module
 */
import { type EngineDigest, type SuspectDigest, type SuspectTrial } from "../generated/peers.js";
import {
    type Context,
    drawName,
    enqueue,
    leavePhase,
    markInFlight,
    refuse,
    releaseEngine,
    type StoppedAttempt,
} from "./_context.js";
import { type TrackedRequest } from "./_trackedRequest.js";
import { type Claim } from "./_trials.js";

/** Longest wait for news of an engine whose connection was lost. */
export const VERDICT_WAIT_MILLISECONDS = 1_500;
const BLOCKED_RETRY_MILLISECONDS = 10_000;
const SHARE_INTERVAL_MILLISECONDS = 1_000;
const SHARE_AGAIN_MILLISECONDS = 10_000;
const CANCEL_SETTLE_MILLISECONDS = 500;
const STOPPED_KEPT_MILLISECONDS = 10_000;
const MOST_SHARED = 256;

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

function hasCrashed(context: Context, tracked: TrackedRequest): boolean {
    const { engine, incarnation } = tracked;
    return engine !== undefined && incarnation !== undefined && context.view.hasEnded(engine, incarnation);
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

/** Clears a fingerprint that an engine has run to its end. */
export function recordFinishedSuspect(context: Context, tracked: TrackedRequest): void {
    endTrialOf(context, tracked);
    if (context.quarantine.recordFinished(tracked.request.fingerprint)) {
        reviewStandings(context);
    }
}

/** Ends the trial of a request, if it has one, and tells peers. */
export function endTrialOf(context: Context, tracked: TrackedRequest): void {
    const claim = context.trials.listOwn().find(own => own.identifier === tracked.trialIdentifier);
    tracked.trialIdentifier = undefined;
    if (claim !== undefined) {
        context.trials.end(claim, context.nowMilliseconds);
        shareClaim(context, claim, "ended");
    }
}

/** Tells peers of a claim together with what is known of its fingerprint. */
export function shareClaim(context: Context, claim: Claim, state: SuspectTrial["state"]): void {
    const { identifier, host, engine, incarnation } = claim;
    claim.renewal += 1;
    const digest: SuspectDigest = {
        ...context.quarantine.describe(claim.fingerprint),
        trial: {
            identifier,
            host,
            engine,
            renewal: claim.renewal,
            state,
            ...(incarnation === undefined ? {} : { incarnation }),
        },
    };
    context.effects.push({ type: "share-suspects", digests: [digest] });
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

/** Claims, for peers to know, the engines on which this host already runs requests that have become suspects. */
export function claimRunningSuspects(context: Context): void {
    for (const tracked of context.requests.values()) {
        const { engine, phase, request } = tracked;
        const isRunning = engine !== undefined && phase === "running" && tracked.trialIdentifier === undefined;
        if (!isRunning || hasCrashed(context, tracked)) {
            continue;
        }
        if (context.quarantine.standing(request.fingerprint) !== "clear") {
            announceClaim(context, tracked, engine, "running");
        }
    }
}

/** Claims an engine for a request and tells peers. */
export function announceClaim(context: Context, tracked: TrackedRequest, engine: string, state: Claim["state"]): void {
    const identifier = `${context.host}-${drawName(context.random)}`;
    const claim = context.trials.announce({
        identifier,
        host: context.host,
        fingerprint: tracked.request.fingerprint,
        engine,
        announcedAtMilliseconds: context.nowMilliseconds,
        incarnation: state === "running" ? tracked.incarnation : undefined,
        state,
    });
    tracked.trialIdentifier = identifier;
    shareClaim(context, claim, state);
}

/** Shares what changed at once, and what changed lately again for peers that missed it. */
export function shareSuspects(context: Context): void {
    const changed = context.quarantine.takeChanged(context.nowMilliseconds);
    if (context.nowMilliseconds - context.sharedAtMilliseconds < SHARE_INTERVAL_MILLISECONDS) {
        shareFingerprints(context, changed);
        return;
    }
    context.sharedAtMilliseconds = context.nowMilliseconds;
    for (const claim of context.trials.listOwn()) {
        shareClaim(context, claim, claim.state);
    }
    const since = context.nowMilliseconds - SHARE_AGAIN_MILLISECONDS;
    shareFingerprints(context, context.quarantine.listChangedSince(since));
}

/** Tells everything to peers of which some may be new. */
export function shareAllSuspects(context: Context): void {
    shareFingerprints(context, context.quarantine.listChangedSince(Number.NEGATIVE_INFINITY));
}

function shareFingerprints(context: Context, fingerprints: readonly string[]): void {
    if (fingerprints.length === 0) {
        return;
    }
    const digests = fingerprints.slice(-MOST_SHARED).map(fingerprint => context.quarantine.describe(fingerprint));
    context.effects.push({ type: "share-suspects", digests });
}
