/**
 * Which copies stand, and which evicts may be recorded and sent.
 *
 * @module
 */
import { type EngineRecord, type LedgerEntry } from "../generated/platform.js";
import { type EngineOrder } from "../generated/upstreams.js";
import { type EngineState, subjectKey } from "./_engineState.js";
import { type ActiveHolder, CONFIRMATION_LIFETIME_MILLISECONDS } from "./_holder.js";
import { compareFencing, isProvedCopy } from "./ledger.js";

/** Reports lag by less than this. */
const REPORT_LAG_MILLISECONDS = 10_000;
/** A published digest has reached the hosts by then. */
const DIGEST_SPREAD_MILLISECONDS = 1_000;
/** An engine whose copies have not counted for this long is taken for lost, and its models are placed elsewhere. */
const LOST_ENGINE_MILLISECONDS = 3_000;

/** Tells whether an engine's stored record can be relied on: this holder's own, of an incarnation lately confirmed. */
export function isStandingEngine(holder: ActiveHolder, state: EngineState, nowMilliseconds: number): boolean {
    return state.stamped
        && state.reachable
        && !state.leaving
        && !holder.leavingEngines.has(state.name)
        && state.newIncarnation === undefined
        && state.confirmedAtMilliseconds !== undefined
        && nowMilliseconds - state.confirmedAtMilliseconds < CONFIRMATION_LIFETIME_MILLISECONDS;
}

/** Notes which engines' copies count. */
export function noteStanding(holder: ActiveHolder, nowMilliseconds: number): void {
    for (const state of holder.engines.values()) {
        state.missingSinceMilliseconds = isStandingEngine(holder, state, nowMilliseconds)
            ? undefined
            : state.missingSinceMilliseconds ?? nowMilliseconds;
    }
}

/**
 * Tells whether the view of the pool is good enough to move anything: each engine's copies count, or have not counted
 * for so long that it has to be taken for lost.
 */
export function isPoolKnown(holder: ActiveHolder, nowMilliseconds: number): boolean {
    return [...holder.engines.values()].every(({ missingSinceMilliseconds }) =>
        missingSinceMilliseconds === undefined
        || nowMilliseconds - missingSinceMilliseconds >= LOST_ENGINE_MILLISECONDS
    );
}

/** Records that the store may hold by now: the known one, and one whose write is under way. */
function possibleRecords(state: EngineState): readonly EngineRecord[] {
    return [state.record, state.pendingWrite?.record].filter(record => record !== undefined);
}

/** Tells whether an engine has for long not named a copy in its reports that its ledger proves. */
export function isDoubted(state: EngineState, entry: LedgerEntry, nowMilliseconds: number): boolean {
    const since = state.unreported.get(subjectKey(entry));
    return since !== undefined && nowMilliseconds - since >= REPORT_LAG_MILLISECONDS;
}

/** Tells whether other hosts know of a copy, and are to go on using it. */
function isToldOf(state: EngineState, entry: LedgerEntry, nowMilliseconds: number): boolean {
    const since = state.provedSince.get(subjectKey(entry));
    const hasSpread = since !== undefined && nowMilliseconds - since >= DIGEST_SPREAD_MILLISECONDS;
    return hasSpread && !state.draining.has(subjectKey(entry));
}

interface Sought {
    readonly name: string;
    readonly except: LedgerEntry | undefined;
    readonly nowMilliseconds: number;
}

function holdsCopy(state: EngineState, record: EngineRecord, { name, except, nowMilliseconds }: Sought): boolean {
    return record.entries.some(entry =>
        entry.kind === "model"
        && entry.name === name
        && entry.version !== except?.version
        && isProvedCopy(entry)
        && isToldOf(state, entry, nowMilliseconds)
        && !isDoubted(state, entry, nowMilliseconds)
    );
}

/**
 * Tells whether a model has a proved copy besides the one on an engine.
 *
 * @param holder The holder, active.
 * @param state Engine whose copy is to go.
 * @param entry That copy.
 * @param drafts Records that are about to be written, by engine; that of the engine itself among them.
 * @param nowMilliseconds The time.
 */
function otherCopyStands(
    holder: ActiveHolder,
    state: EngineState,
    entry: LedgerEntry,
    drafts: ReadonlyMap<string, EngineRecord>,
    nowMilliseconds: number,
): boolean {
    return [...holder.engines.values()].some(other => {
        if (!isStandingEngine(holder, other, nowMilliseconds)) {
            return false;
        }
        const draft = drafts.get(other.name);
        const records = draft === undefined ? possibleRecords(other) : [...possibleRecords(other), draft];
        const except = other === state ? entry : undefined;
        return records.length > 0
            && records.every(record => holdsCopy(other, record, { name: entry.name, except, nowMilliseconds }));
    });
}

/** Tells whether an entry is no copy already, because of an evict other than the one in question. */
function hasOtherEvict(entry: LedgerEntry, order: EngineOrder): boolean {
    return entry.openOrders.some(open => open.kind === "evict" && compareFencing(open.fencing, order.fencing) !== 0);
}

/**
 * Tells whether evicting a model's entry keeps the model reachable, takes nothing that counts as a copy, or is what the
 * operators asked for.
 */
export function mayEvictModel(
    holder: ActiveHolder,
    state: EngineState,
    entry: LedgerEntry,
    order: EngineOrder,
    drafts: ReadonlyMap<string, EngineRecord>,
    nowMilliseconds: number,
): boolean {
    const isListed = holder.text.deployment.models.some(model =>
        model.name === entry.name && model.pools.includes(holder.pool)
    );
    if (!isListed) {
        return (state.record?.deploymentRevision ?? 0) <= holder.text.revision;
    }
    return hasOtherEvict(entry, order) || otherCopyStands(holder, state, entry, drafts, nowMilliseconds);
}
