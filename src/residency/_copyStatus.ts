/**
 * Decides which copies count as confirmed, and which evicts may be recorded and sent.
 *
 * @module
 */
import { type EngineRecord, type LedgerEntry } from "../generated/platform.js";
import { type EngineOrder } from "../generated/upstreams.js";
import { type EngineState, subjectKey } from "./_engineState.js";
import { type ActiveHolder, CONFIRMATION_LIFETIME_MILLISECONDS } from "./_holder.js";
import { compareFencing, isProvedCopy } from "./ledger.js";

/** Upper bound of the time by which engines' reports lag behind. */
const REPORT_LAG_MILLISECONDS = 10_000;
/** Time within which a published digest reaches the hosts. */
const DIGEST_PROPAGATION_MILLISECONDS = 1_000;
/** An engine that has not been confirmed for this long is taken for lost, and its models are placed elsewhere. */
const LOST_ENGINE_MILLISECONDS = 3_000;

/**
 * Returns whether an engine's stored record is reliable: written by this holder, for an incarnation that a recent
 * report confirmed, on an engine that is reachable and not leaving.
 */
export function isConfirmedEngine(holder: ActiveHolder, state: EngineState, nowMilliseconds: number): boolean {
    return state.hasStoredEpoch
        && state.reachable
        && !state.leaving
        && !holder.leavingEngines.has(state.name)
        && state.newIncarnation === undefined
        && state.confirmedAtMilliseconds !== undefined
        && nowMilliseconds - state.confirmedAtMilliseconds < CONFIRMATION_LIFETIME_MILLISECONDS;
}

/** Records since when each engine is unconfirmed. */
export function updateUnconfirmedSince(holder: ActiveHolder, nowMilliseconds: number): void {
    for (const state of holder.engines.values()) {
        state.unconfirmedSinceMilliseconds = isConfirmedEngine(holder, state, nowMilliseconds)
            ? undefined
            : state.unconfirmedSinceMilliseconds ?? nowMilliseconds;
    }
}

/**
 * Returns whether placement may change: each engine is either confirmed or unconfirmed long enough to be taken for
 * lost.
 */
export function isPoolStateKnown(holder: ActiveHolder, nowMilliseconds: number): boolean {
    return [...holder.engines.values()].every(({ unconfirmedSinceMilliseconds }) =>
        unconfirmedSinceMilliseconds === undefined
        || nowMilliseconds - unconfirmedSinceMilliseconds >= LOST_ENGINE_MILLISECONDS
    );
}

/** Returns the records that the store may hold now: the known one, and one whose write is in progress. */
function possibleRecords(state: EngineState): readonly EngineRecord[] {
    return [state.record, state.pendingWrite?.record].filter(record => record !== undefined);
}

/** Returns whether an engine's reports have omitted a proved copy for longer than they can lag. */
export function isMissingFromReports(state: EngineState, entry: LedgerEntry, nowMilliseconds: number): boolean {
    const since = state.unreportedSince.get(subjectKey(entry));
    return since !== undefined && nowMilliseconds - since >= REPORT_LAG_MILLISECONDS;
}

/** Returns whether a copy's digest has reached the other hosts, and the copy is not being drained. */
function isPublished(state: EngineState, entry: LedgerEntry, nowMilliseconds: number): boolean {
    const since = state.provedSince.get(subjectKey(entry));
    const hasPropagated = since !== undefined && nowMilliseconds - since >= DIGEST_PROPAGATION_MILLISECONDS;
    return hasPropagated && !state.drainingSince.has(subjectKey(entry));
}

interface CopyQuery {
    readonly name: string;
    readonly except: LedgerEntry | undefined;
    readonly nowMilliseconds: number;
}

function holdsCopy(state: EngineState, record: EngineRecord, { name, except, nowMilliseconds }: CopyQuery): boolean {
    return record.entries.some(entry =>
        entry.kind === "model"
        && entry.name === name
        && entry.version !== except?.version
        && isProvedCopy(entry)
        && isPublished(state, entry, nowMilliseconds)
        && !isMissingFromReports(state, entry, nowMilliseconds)
    );
}

/**
 * Returns whether a model has a proved and published copy besides the one to be evicted, in every record that the store
 * may hold.
 *
 * @param holder State of the decision, with a valid lease.
 * @param state Engine with the copy to be evicted.
 * @param entry That copy.
 * @param drafts Records that are about to be written, by engine, including that of the engine itself.
 * @param nowMilliseconds The current time.
 */
function hasOtherCopy(
    holder: ActiveHolder,
    state: EngineState,
    entry: LedgerEntry,
    drafts: ReadonlyMap<string, EngineRecord>,
    nowMilliseconds: number,
): boolean {
    return [...holder.engines.values()].some(other => {
        if (!isConfirmedEngine(holder, other, nowMilliseconds)) {
            return false;
        }
        const draft = drafts.get(other.name);
        const records = draft === undefined ? possibleRecords(other) : [...possibleRecords(other), draft];
        const except = other === state ? entry : undefined;
        return records.length > 0
            && records.every(record => holdsCopy(other, record, { name: entry.name, except, nowMilliseconds }));
    });
}

/** Returns whether an entry already does not count as a copy, because of an evict other than the given one. */
function hasOtherEvict(entry: LedgerEntry, order: EngineOrder): boolean {
    return entry.openOrders.some(open => open.kind === "evict" && compareFencing(open.fencing, order.fencing) !== 0);
}

/**
 * Returns whether a model's entry may be evicted: another copy remains, the entry does not count as a copy, or the
 * configuration no longer lists the model. In the last case the record must not stem from a later configuration, which
 * may list it.
 */
export function mayEvictModel(
    holder: ActiveHolder,
    state: EngineState,
    entry: LedgerEntry,
    order: EngineOrder,
    drafts: ReadonlyMap<string, EngineRecord>,
    nowMilliseconds: number,
): boolean {
    const isListed = holder.configuration.deployment.models.some(model =>
        model.name === entry.name && model.pools.includes(holder.pool)
    );
    if (!isListed) {
        return (state.record?.deploymentRevision ?? 0) <= holder.configuration.revision;
    }
    return hasOtherEvict(entry, order) || hasOtherCopy(holder, state, entry, drafts, nowMilliseconds);
}
