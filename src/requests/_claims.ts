/**
 * Claims on engines for suspects, and what is told to peers of suspects.
 *
 * @module
 */
import { type SuspectDigest, type SuspectTrial } from "../generated/peers.js";
import { type Context, drawName, hasCrashed } from "./_context.js";
import { type TrackedRequest } from "./_trackedRequest.js";
import { type Claim } from "./_trials.js";

const SHARE_INTERVAL_MILLISECONDS = 1_000;
const SHARE_AGAIN_MILLISECONDS = 10_000;
const MOST_SHARED = 256;

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

/** Ends the trial of a request, if it has one, and tells peers. */
export function endTrialOf(context: Context, tracked: TrackedRequest): void {
    const claim = context.trials.listOwn().find(own => own.identifier === tracked.trialIdentifier);
    tracked.trialIdentifier = undefined;
    if (claim !== undefined) {
        context.trials.end(claim, context.nowMilliseconds);
        shareClaim(context, claim, "ended");
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
