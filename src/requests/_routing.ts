/**
 * Which engine takes a request.
 *
 * @module
 */
import { rankByRendezvous } from "../decision/index.js";
import { type CatalogEngine } from "./_catalog.js";
import { type ChooseEngine, type Context, isUrgentNow, type RoutingCandidate } from "./_context.js";
import { type TrackedRequest } from "./_trackedRequest.js";

const PATIENT_SLOT_SHARE = 0.5;
const URGENT_SLOT_SHARE = 1.125;
const PREFIX_WORTH_IN_SLOTS = 0.15;

/** Where a request can go now. */
export type Route =
    | { readonly type: "engine"; readonly engine: string; }
    /** Copies exist, and all are full or set apart. */
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
    const allowed = keepTogether(context, ready, tracked);
    const open = allowed.filter(engine => isOpen(context, engine, tracked));
    const elsewhere = open.filter(engine => engine.name !== tracked.failedEngine);
    const engine = choose(context, elsewhere, tracked) ?? choose(context, open, tracked);
    return engine === undefined ? { type: "no-room" } : { type: "engine", engine };
}

/** Lists engines with a proved copy that are not leaving. */
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
 * Keeps requests that are alike and not yet known to be harmless on one engine, and holds them back while one of them
 * awaits the verdict on its engine: should they crash engines, they crash no more than one from this host at a time.
 */
function keepTogether(
    context: Context,
    engines: readonly CatalogEngine[],
    tracked: TrackedRequest,
): readonly CatalogEngine[] {
    const { fingerprint } = tracked.request;
    const alike = context.quarantine.hasFinished(fingerprint) ? undefined : context.inFlight.get(fingerprint);
    if (alike === undefined) {
        return engines;
    }
    const isHeld = [...alike].some(other => other.phase === "awaiting-verdict");
    return isHeld ? [] : engines.filter(engine => [...alike].some(other => other.engine === engine.name));
}

/** Tells whether an engine has room for the request and is not set apart for a suspect. */
function isOpen(context: Context, engine: CatalogEngine, tracked: TrackedRequest): boolean {
    const { view, trials, nowMilliseconds } = context;
    if (view.get(engine.name).busyUntilMilliseconds > nowMilliseconds) {
        return false;
    }
    if (view.isUnreachable(engine.name, nowMilliseconds)) {
        return false;
    }
    if (trials.isSetApart(engine.name, nowMilliseconds)) {
        return false;
    }
    return view.estimateLoad(engine.name) < countSlotsFor(context, engine, tracked);
}

/**
 * Leaves room for urgent and aged requests, which may take a little more than the slots rather than be refused, and
 * less where first tokens have lately come late.
 */
function countSlotsFor(context: Context, { name, slots }: CatalogEngine, tracked: TrackedRequest): number {
    const share = isUrgentNow(context, tracked) ? URGENT_SLOT_SHARE : PATIENT_SLOT_SHARE;
    return Math.max(1, Math.ceil(slots * share * context.view.get(name).pace.share()));
}

/** Prefers engines heard of lately; the others serve before a request is refused. */
function choose(context: Context, engines: readonly CatalogEngine[], tracked: TrackedRequest): string | undefined {
    const { view, nowMilliseconds } = context;
    const toCandidate = (engine: CatalogEngine): RoutingCandidate => ({
        engine: engine.name,
        load: view.estimateLoad(engine.name),
        slots: engine.slots,
        prefixMatch: view.get(engine.name).prefixes.matchLength(tracked.request.prefixKeys),
    });
    const known = engines.filter(engine => !view.isDoubtful(engine.name, nowMilliseconds));
    const preferred = known.length > 0 ? known : engines;
    return context.chooseEngine(preferred.map(toCandidate), tracked);
}

/**
 * Prefers cached prefixes as long as the engine's load is not much higher: a whole cached prefix is worth a fixed share
 * of the engine's slots. Of equal engines all hosts choose the same one by rendezvous, so that equal prompts meet.
 */
export const chooseByPrefixWithinLoadBound: ChooseEngine = (candidates, tracked) => {
    const { fingerprint, prefixKeys } = tracked.request;
    const scored = candidates.map(({ engine, load, prefixMatch, slots }) => {
        const cachedShare = prefixMatch / Math.max(1, prefixKeys.length);
        return { engine, score: load / slots - PREFIX_WORTH_IN_SLOTS * cachedShare };
    });
    const best = Math.min(...scored.map(candidate => candidate.score));
    const equal = scored.filter(candidate => candidate.score <= best);
    return rankByRendezvous(prefixKeys[0] ?? fingerprint, equal.map(candidate => candidate.engine))[0];
};
