/**
 * Chooses the engine for a request.
 *
 * @module
 */
import { rankByRendezvous } from "../decision/index.js";
import { type CatalogEngine } from "./_catalog.js";
import { type ChooseEngine, type Context, hasUrgentPriority, type RoutingCandidate } from "./_context.js";
import { type TrackedRequest } from "./_trackedRequest.js";

const PATIENT_SLOT_SHARE = 0.5;
const URGENT_SLOT_SHARE = 1.125;
const CACHED_PREFIX_SLOT_SHARE = 0.15;

/** Result of routing a request. */
export type Route =
    | { readonly type: "engine"; readonly engine: string; }
    /** Copies exist, but no engine that has one can accept the request now. */
    | { readonly type: "no-room"; }
    | { readonly type: "no-adapter"; }
    | { readonly type: "no-copy"; };

/**
 * Finds the engine for a request.
 *
 * @param context State of the decision.
 * @param tracked The request.
 * @returns The engine, or why there is none now.
 */
export function findRoute(context: Context, tracked: TrackedRequest): Route {
    const { model, adapter } = tracked.request;
    const copies = listCopies(context, model, undefined);
    if (copies.length === 0) {
        return { type: "no-copy" };
    }
    const ready = adapter === undefined ? copies : listCopies(context, model, adapter);
    if (ready.length === 0) {
        return { type: "no-adapter" };
    }
    const allowed = confineSameFingerprint(context, ready, tracked);
    const available = allowed.filter(engine => hasRoom(context, engine, tracked));
    const otherEngines = available.filter(engine => engine.name !== tracked.lastFailedEngine);
    const engine = chooseCandidate(context, otherEngines, tracked) ?? chooseCandidate(context, available, tracked);
    return engine === undefined ? { type: "no-room" } : { type: "engine", engine };
}

/** Returns the engines with a confirmed copy that are not leaving. */
export function listCopies(
    context: Context,
    model: string,
    adapter: string | undefined,
): readonly CatalogEngine[] {
    const engines = context.catalog?.listEngines(model) ?? [];
    return engines.filter(engine =>
        !context.view.get(engine.name).leaving && context.view.holds(engine.name, model, adapter)
    );
}

/**
 * Confines requests with the same fingerprint to one engine until one of them has finished, and holds them back while
 * one awaits the crash determination of its engine. If they crash engines, this host loses at most one at a time.
 */
function confineSameFingerprint(
    context: Context,
    engines: readonly CatalogEngine[],
    tracked: TrackedRequest,
): readonly CatalogEngine[] {
    const { fingerprint } = tracked.request;
    const sameFingerprint = context.quarantine.hasFinished(fingerprint) ? undefined : context.inFlight.get(fingerprint);
    if (sameFingerprint === undefined) {
        return engines;
    }
    const isHeld = [...sameFingerprint].some(other => other.phase === "awaiting-verdict");
    return isHeld ? [] : engines.filter(engine => [...sameFingerprint].some(other => other.engine === engine.name));
}

/** Returns whether an engine is reachable, has room for the request and is not reserved for a suspect. */
function hasRoom(context: Context, engine: CatalogEngine, tracked: TrackedRequest): boolean {
    const { view, trials, nowMilliseconds } = context;
    if (view.get(engine.name).busyUntilMilliseconds > nowMilliseconds) {
        return false;
    }
    if (view.isUnreachable(engine.name, nowMilliseconds)) {
        return false;
    }
    if (trials.isReserved(engine.name, nowMilliseconds)) {
        return false;
    }
    return view.estimateLoad(engine.name) < usableSlots(context, engine, tracked);
}

/**
 * Returns below which load an engine accepts the request. Urgent and aged requests may exceed the slots slightly rather
 * than be refused, and patient ones leave room for them. The limit is lower where first tokens were recently late.
 */
function usableSlots(context: Context, { name, slots }: CatalogEngine, tracked: TrackedRequest): number {
    const share = hasUrgentPriority(context, tracked) ? URGENT_SLOT_SHARE : PATIENT_SLOT_SHARE;
    return Math.max(1, Math.ceil(slots * share * context.view.get(name).slotShare.current()));
}

/** Prefers engines with a recent report; uses the others rather than refuse a request. */
function chooseCandidate(
    context: Context,
    engines: readonly CatalogEngine[],
    tracked: TrackedRequest,
): string | undefined {
    const { view, nowMilliseconds } = context;
    const toCandidate = (engine: CatalogEngine): RoutingCandidate => ({
        engine: engine.name,
        load: view.estimateLoad(engine.name),
        slots: engine.slots,
        prefixMatch: view.get(engine.name).prefixes.matchLength(tracked.request.prefixKeys),
    });
    const recentlyReported = engines.filter(engine => !view.isReportStale(engine.name, nowMilliseconds));
    const preferred = recentlyReported.length > 0 ? recentlyReported : engines;
    return context.chooseEngine(preferred.map(toCandidate), tracked);
}

/**
 * Prefers engines with cached prefixes unless their load is much higher: a completely cached prompt offsets a load of a
 * fixed share of the slots. All hosts choose the same one of equal engines by rendezvous hashing, so that equal prompts
 * reach the same cache.
 */
export const chooseByPrefixWithinLoadBound: ChooseEngine = (candidates, tracked) => {
    const { fingerprint, prefixKeys } = tracked.request;
    const scored = candidates.map(({ engine, load, prefixMatch, slots }) => {
        const cachedShare = prefixMatch / Math.max(1, prefixKeys.length);
        return { engine, score: load / slots - CACHED_PREFIX_SLOT_SHARE * cachedShare };
    });
    const best = Math.min(...scored.map(candidate => candidate.score));
    const equal = scored.filter(candidate => candidate.score <= best);
    return rankByRendezvous(prefixKeys[0] ?? fingerprint, equal.map(candidate => candidate.engine))[0];
};
