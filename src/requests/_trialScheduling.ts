/**
 * Runs suspects one at a time on engines that are set apart for them.
 *
 * @module
 */
import { announceClaim, endTrialOf, shareClaim } from "./_claims.js";
import { type Context, dispatch } from "./_context.js";
import { VERDICT_WAIT_MILLISECONDS } from "./_crashes.js";
import { listCopies } from "./_routing.js";
import { refuseByStanding } from "./_standings.js";
import { type TrackedRequest } from "./_trackedRequest.js";
import { type Claim, SETTLE_MILLISECONDS } from "./_trials.js";

const DRAIN_WAIT_MILLISECONDS = 5_000;
const PROBE_INTERVAL_MILLISECONDS = 100;
const SET_APART_SHARE = 0.5;

/** Claims engines for suspects, gives way to peers' claims, and starts the trials whose time has come. */
export function runTrials(context: Context): void {
    endOrphanedClaims(context);
    const waiting = [...context.awaitingTrial];
    waiting.sort((left, right) => left.deadlineMilliseconds - right.deadlineMilliseconds);
    for (const tracked of waiting) {
        if (isBlockedForLong(context, tracked)) {
            refuseByStanding(context, tracked, "blocked");
            continue;
        }
        const claim = context.trials.listOwn().find(own => own.identifier === tracked.trialIdentifier);
        if (claim === undefined) {
            tryToClaim(context, tracked);
        }
        else {
            advanceClaim(context, tracked, claim);
        }
    }
}

/** Tells whether two engines were lost to the request, and no news of them came in time. */
function isBlockedForLong(context: Context, tracked: TrackedRequest): boolean {
    return context.quarantine.standing(tracked.request.fingerprint) === "blocked"
        && context.nowMilliseconds - context.quarantine.presumedSince(tracked.request.fingerprint)
            >= VERDICT_WAIT_MILLISECONDS;
}

/** Ends claims whose request has its final answer or is no longer under suspicion. */
function endOrphanedClaims(context: Context): void {
    const claims = context.trials.listOwn();
    if (claims.length === 0) {
        return;
    }
    const held = new Set([...context.requests.values()].map(tracked => tracked.trialIdentifier));
    for (const claim of claims) {
        if (!held.has(claim.identifier)) {
            context.trials.end(claim, context.nowMilliseconds);
            shareClaim(context, claim, "ended");
        }
    }
}

function tryToClaim(context: Context, tracked: TrackedRequest): void {
    const { nowMilliseconds, quarantine, trials } = context;
    if (tracked.notBeforeMilliseconds > nowMilliseconds) {
        return;
    }
    if (quarantine.standing(tracked.request.fingerprint) !== "suspect") {
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
    const claim = trials.listOwn().find(own => own.identifier === tracked.trialIdentifier);
    if (claim !== undefined) {
        advanceClaim(context, tracked, claim);
    }
}

/**
 * Finds the least loaded engine that may be set apart, while enough copies stay open to healthy work. An engine that
 * was not heard of lately, or where the suspect's last attempt failed, serves only where there is no other copy.
 */
function findTrialEngine(context: Context, tracked: TrackedRequest): string | undefined {
    const { nowMilliseconds, trials, view } = context;
    const { model, adapter } = tracked.request;
    const copies = listCopies(context, model, adapter).map(engine => engine.name);
    const setApart = copies.filter(engine => trials.isSetApart(engine, nowMilliseconds));
    if (setApart.length >= Math.max(1, Math.floor(copies.length * SET_APART_SHARE))) {
        return undefined;
    }
    const live = copies.filter(engine => engine !== tracked.failedEngine && !view.isDoubtful(engine, nowMilliseconds));
    const usable = live.length > 0 ? live : copies;
    const candidates = usable.filter(engine =>
        !setApart.includes(engine) && trials.restsUntil(engine) <= nowMilliseconds
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
        probe(context, claim);
        return;
    }
    claim.state = "running";
    dispatch(context, tracked, claim.engine);
    claim.incarnation = tracked.incarnation;
    shareClaim(context, claim, "running");
}

/** Asks for a report now and then, so that a drained engine is noticed soon. */
function probe(context: Context, claim: Claim): void {
    if (context.nowMilliseconds - claim.probedAtMilliseconds >= PROBE_INTERVAL_MILLISECONDS) {
        claim.probedAtMilliseconds = context.nowMilliseconds;
        context.effects.push({ type: "probe-engine", engine: claim.engine });
    }
}

function hasSettled(context: Context, claim: Claim): boolean {
    return context.peers.length === 0
        || context.nowMilliseconds - claim.announcedAtMilliseconds >= SETTLE_MILLISECONDS;
}

/** Tells whether healthy work has left the engine, as far as a report since the claim says, or was waited for. */
function isDrained(context: Context, claim: Claim): boolean {
    const waitedMilliseconds = context.nowMilliseconds - claim.announcedAtMilliseconds;
    if (waitedMilliseconds >= DRAIN_WAIT_MILLISECONDS) {
        return true;
    }
    const { observedAtMilliseconds } = context.view.get(claim.engine);
    const settledAt = claim.announcedAtMilliseconds + (context.peers.length === 0 ? 0 : SETTLE_MILLISECONDS);
    const isFresh = observedAtMilliseconds !== undefined && observedAtMilliseconds >= settledAt;
    return isFresh && context.view.estimateLoad(claim.engine) === 0;
}
