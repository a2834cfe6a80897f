/**
 * Loads requested adapters for which an engine's record has a grant. The grant reserves the memory, so that a load
 * needs no write of its own.
 *
 * @module
 */
import { type LedgerEntry } from "../generated/platform.js";
import { type EngineOrder } from "../generated/upstreams.js";
import { isConfirmedEngine, isMissingFromReports } from "./_copyStatus.js";
import { type EngineState, hasOrderInProgress, subjectKey } from "./_engineState.js";
import { type ActiveHolder, nextFencing } from "./_holder.js";
import { sendOrder } from "./_recordKeeping.js";
import { isProvedCopy } from "./ledger.js";
import { type PlannedAction } from "./placement.js";
import { shareOfWeightStore } from "./storeShare.js";

/** An adapter that was requested within this time is loaded again where an engine no longer holds it. */
const REQUEST_LIFETIME_MILLISECONDS = 600_000;

function isRecentlyRequested(holder: ActiveHolder, entry: LedgerEntry, nowMilliseconds: number): boolean {
    const requestedAt = holder.requestedAdapters.get(`${entry.version}:${entry.name}`);
    return requestedAt !== undefined && nowMilliseconds - requestedAt < REQUEST_LIFETIME_MILLISECONDS;
}

function isLoadable(
    holder: ActiveHolder,
    state: EngineState,
    entry: LedgerEntry,
    nowMilliseconds: number,
): boolean {
    const backoff = state.backoffs.get(subjectKey(entry))?.untilMilliseconds ?? 0;
    return entry.kind === "adapter"
        && (!entry.resident || isMissingFromReports(state, entry, nowMilliseconds))
        && !entry.openOrders.some(open => open.kind === "evict")
        && !hasOrderInProgress(state, subjectKey(entry))
        && !state.unrecordedOutcomes.some(known => known.order.name === entry.name && known.outcome === "done")
        && backoff <= nowMilliseconds
        && isRecentlyRequested(holder, entry, nowMilliseconds);
}

function hasGrant(holder: ActiveHolder, entry: LedgerEntry): boolean {
    return entry.openOrders.some(open => open.kind === "load" && open.fencing.epoch === holder.lease.epoch);
}

function requestedEntries(
    holder: ActiveHolder,
    nowMilliseconds: number,
): { readonly state: EngineState; readonly entry: LedgerEntry; }[] {
    const states = [...holder.engines.values()].filter(state => isConfirmedEngine(holder, state, nowMilliseconds));
    return states.flatMap(state => {
        const entries = state.record?.entries ?? [];
        const models = new Set(
            entries.filter(entry => entry.kind === "model" && isProvedCopy(entry)).map(({ name }) => name),
        );
        const loadable = entries.filter(entry =>
            models.has(entry.version) && isLoadable(holder, state, entry, nowMilliseconds)
        );
        return loadable.map(entry => ({ state, entry }));
    });
}

/** Sends loads of requested adapters that are granted, up to the pool's share of concurrent loads. */
export function loadRequestedAdapters(holder: ActiveHolder, nowMilliseconds: number): void {
    const share = shareOfWeightStore(holder.configuration.deployment, holder.pool).concurrentAdapterLoads;
    const isLoad = ({ order }: { readonly order: EngineOrder; }): boolean => order.kind === "load-adapter";
    let running = [...holder.engines.values()].reduce(
        (sum, state) => sum + [...state.awaitedOrders.values()].filter(isLoad).length,
        0,
    );
    for (const { state, entry } of requestedEntries(holder, nowMilliseconds)) {
        if (running >= share) {
            return;
        }
        if (hasGrant(holder, entry)) {
            const { name, version: model, megabytes } = entry;
            const fencing = nextFencing(holder);
            sendOrder(holder, state, { kind: "load-adapter", name, model, megabytes, fencing }, nowMilliseconds);
            running += 1;
        }
    }
}

/**
 * Returns requested adapters granted only by an earlier holder, for which this holder must record a grant of its own.
 */
export function listMissingGrants(holder: ActiveHolder, nowMilliseconds: number): PlannedAction[] {
    return requestedEntries(holder, nowMilliseconds).filter(({ entry }) => !hasGrant(holder, entry)).map((
        { state, entry },
    ) => ({
        action: "grant" as const,
        engine: state.name,
        name: entry.name,
        version: entry.version,
        megabytes: entry.megabytes,
        reason: "wanted, and granted by an earlier holder",
        isMove: false,
    }));
}
