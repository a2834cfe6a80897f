/**
 * Runs suspects one at a time on engines reserved for them.
 *
 * @module
 */
import { announceClaim, endTrialOf, shareClaim } from "./_claims.js";
import { type Context, dispatch } from "./_context.js";
import { VERDICT_WAIT_MILLISECONDS } from "./_crashes.js";
import { refuseByStatus } from "./_fingerprintStatus.js";
import { listCopies } from "./_routing.js";
import { type TrackedRequest } from "./_trackedRequest.js";
import { type Claim, CLAIM_SETTLE_MILLISECONDS } from "./_trials.js";

const MAXIMUM_DRAIN_MILLISECONDS = 5_000;
const PROBE_INTERVAL_MILLISECONDS = 100;
const MAXIMUM_RESERVED_SHARE = 0.5;

/** Claims engines for suspects, yields to peers' claims, and starts trials on engines that are ready. */
export function runTrials(context: Context): void {
    endOrphanedClaims(context);
    const waiting = [...context.awaitingTrial];
    waiting.sort((left, right) => left.deadlineMilliseconds - right.deadlineMilliseconds);
    for (const tracked of waiting) {
        if (isBlockedTooLong(context, tracked)) {
            refuseByStatus(context, tracked, "blocked");
            continue;
        }
        const claim = context.trials.listOwn().find(ownClaim => ownClaim.identifier === tracked.trialIdentifier);
        if (claim === undefined) {
            tryClaim(context, tracked);
        }
        else {
            advanceClaim(context, tracked, claim);
        }
    }
}

/** Returns whether the request was in flight on two lost engines and no report of them arrived in time. */
function isBlockedTooLong(context: Context, tracked: TrackedRequest): boolean {
    return context.quarantine.statusOf(tracked.request.fingerprint) === "blocked"
        && context.nowMilliseconds - context.quarantine.presumedSince(tracked.request.fingerprint)
            >= VERDICT_WAIT_MILLISECONDS;
}

/** Ends claims whose request has its final answer or is no longer a suspect. */
function endOrphanedClaims(context: Context): void {
    const claims = context.trials.listOwn();
    if (claims.length === 0) {
        return;
    }
    const claimIdentifiers = new Set([...context.requests.values()].map(tracked => tracked.trialIdentifier));
    for (const claim of claims) {
        if (!claimIdentifiers.has(claim.identifier)) {
            context.trials.end(claim, context.nowMilliseconds);
            shareClaim(context, claim, "ended");
        }
    }
}

function tryClaim(context: Context, tracked: TrackedRequest): void {
    const { nowMilliseconds, quarantine, trials } = context;
    if (tracked.notBeforeMilliseconds > nowMilliseconds) {
        return;
    }
    if (quarantine.statusOf(tracked.request.fingerprint) !== "suspect") {
        return;
    }
    if (trials.listFor(tracked.request.fingerprint, nowMilliseconds).length > 0) {
        return;
    }
    const engine = findTrialEngine(context, tracked);
    if (engine === undefined) {
        return;
    }
    announceClaim(context, tracked, engine, "claimed");
    const claim = trials.listOwn().find(ownClaim => ownClaim.identifier === tracked.trialIdentifier);
    if (claim !== undefined) {
        advanceClaim(context, tracked, claim);
    }
}

/**
 * Returns the least loaded engine that can be reserved, while enough copies remain for other requests. An engine
 * without a recent report, or where the suspect's last attempt failed, is used only where there is no other copy.
 */
function findTrialEngine(context: Context, tracked: TrackedRequest): string | undefined {
    const { nowMilliseconds, trials, view } = context;
    const { model, adapter } = tracked.request;
    const copies = listCopies(context, model, adapter).map(engine => engine.name);
    const reserved = copies.filter(engine => trials.isReserved(engine, nowMilliseconds));
    if (reserved.length >= Math.max(1, Math.floor(copies.length * MAXIMUM_RESERVED_SHARE))) {
        return undefined;
    }
    const preferred = copies.filter(engine =>
        engine !== tracked.lastFailedEngine && !view.isReportStale(engine, nowMilliseconds)
    );
    const usable = preferred.length > 0 ? preferred : copies;
    const candidates = usable.filter(engine =>
        !reserved.includes(engine) && trials.cooldownEndMilliseconds(engine) <= nowMilliseconds
    );
    candidates.sort((left, right) => view.estimateLoad(left) - view.estimateLoad(right) || (left < right ? -1 : 1));
    return candidates[0];
}

function advanceClaim(context: Context, tracked: TrackedRequest, claim: Claim): void {
    const { nowMilliseconds, trials, view } = context;
    const { model, adapter } = tracked.request;
    const isUsable = view.holds(claim.engine, model, adapter) && !view.get(claim.engine).leaving;
    if (!isUsable || trials.mustYield(claim, nowMilliseconds)) {
        endTrialOf(context, tracked);
        return;
    }
    if (!hasSettled(context, claim)) {
        return;
    }
    if (!isDrained(context, claim)) {
        requestReport(context, claim);
        return;
    }
    claim.state = "running";
    dispatch(context, tracked, claim.engine);
    claim.incarnation = tracked.incarnation;
    shareClaim(context, claim, "running");
}

/** Requests a report at intervals, so that a drained engine is detected soon. */
function requestReport(context: Context, claim: Claim): void {
    if (context.nowMilliseconds - claim.probedAtMilliseconds >= PROBE_INTERVAL_MILLISECONDS) {
        claim.probedAtMilliseconds = context.nowMilliseconds;
        context.effects.push({ type: "probe-engine", engine: claim.engine });
    }
}

function hasSettled(context: Context, claim: Claim): boolean {
    return context.peers.length === 0
        || context.nowMilliseconds - claim.announcedAtMilliseconds >= CLAIM_SETTLE_MILLISECONDS;
}

/** Returns whether a report since the claim shows no requests on the engine, or the maximum drain time has passed. */
function isDrained(context: Context, claim: Claim): boolean {
    const waitedMilliseconds = context.nowMilliseconds - claim.announcedAtMilliseconds;
    if (waitedMilliseconds >= MAXIMUM_DRAIN_MILLISECONDS) {
        return true;
    }
    const { observedAtMilliseconds } = context.view.get(claim.engine);
    const settledAt = claim.announcedAtMilliseconds + (context.peers.length === 0 ? 0 : CLAIM_SETTLE_MILLISECONDS);
    const isFresh = observedAtMilliseconds !== undefined && observedAtMilliseconds >= settledAt;
    return isFresh && context.view.estimateLoad(claim.engine) === 0;
}
