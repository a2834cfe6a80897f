/**
 * Claims engines for trials of suspects, and publishes suspects and claims to peers.
 *
 * @module
 */
import { type SuspectDigest, type SuspectTrial } from "../generated/peers.js";
import { type Context, drawName, hasCrashed } from "./_context.js";
import { type TrackedRequest } from "./_trackedRequest.js";
import { type Claim } from "./_trials.js";

const SHARE_INTERVAL_MILLISECONDS = 1_000;
const RESHARE_WINDOW_MILLISECONDS = 10_000;
const MAXIMUM_SHARED_SUSPECTS = 256;

/** Claims an engine for a request and publishes the claim to peers. */
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

/** Ends the trial of a request, if it has one, and publishes that to peers. */
export function endTrialOf(context: Context, tracked: TrackedRequest): void {
    const claim = context.trials.listOwn().find(ownClaim => ownClaim.identifier === tracked.trialIdentifier);
    tracked.trialIdentifier = undefined;
    if (claim !== undefined) {
        context.trials.end(claim, context.nowMilliseconds);
        shareClaim(context, claim, "ended");
    }
}

/** Publishes claims on the engines where this host already runs requests that have become suspects. */
export function claimRunningSuspects(context: Context): void {
    for (const tracked of context.requests.values()) {
        const { engine, phase, request } = tracked;
        const isRunning = engine !== undefined && phase === "running" && tracked.trialIdentifier === undefined;
        if (!isRunning || hasCrashed(context, tracked)) {
            continue;
        }
        if (context.quarantine.statusOf(request.fingerprint) !== "clear") {
            announceClaim(context, tracked, engine, "running");
        }
    }
}

/** Publishes a claim together with the crash history of its fingerprint. */
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

/** Publishes changed suspects at once; periodically repeats claims and recent changes, for peers that missed them. */
export function shareSuspects(context: Context): void {
    const changed = context.quarantine.drainChanged(context.nowMilliseconds);
    if (context.nowMilliseconds - context.lastPeriodicShareAtMilliseconds < SHARE_INTERVAL_MILLISECONDS) {
        shareFingerprints(context, changed);
        return;
    }
    context.lastPeriodicShareAtMilliseconds = context.nowMilliseconds;
    for (const claim of context.trials.listOwn()) {
        shareClaim(context, claim, claim.state);
    }
    const since = context.nowMilliseconds - RESHARE_WINDOW_MILLISECONDS;
    shareFingerprints(context, context.quarantine.listChangedSince(since));
}

/** Publishes all suspects, for peers that may be new. */
export function shareAllSuspects(context: Context): void {
    shareFingerprints(context, context.quarantine.listChangedSince(Number.NEGATIVE_INFINITY));
}

function shareFingerprints(context: Context, fingerprints: readonly string[]): void {
    if (fingerprints.length === 0) {
        return;
    }
    const digests = fingerprints.slice(-MAXIMUM_SHARED_SUSPECTS).map(fingerprint =>
        context.quarantine.describe(fingerprint)
    );
    context.effects.push({ type: "share-suspects", digests });
}
