/**
 * Builds the placement planner's input from the holder's state.
 *
 * @module
 */
import { type EngineRecord, type LedgerEntry } from "../generated/platform.js";
import { isConfirmedEngine, isMissingFromReports } from "./_copyStatus.js";
import { capacityOf } from "./_drafts.js";
import { type EngineState, findAwaited, hasOrderInProgress, subjectKey } from "./_engineState.js";
import { type ActiveHolder } from "./_holder.js";
import { chargedMegabytes, type EngineCapacity, isCharged, isProvedCopy } from "./ledger.js";
import {
    type CopyState,
    type PlacementAdapter,
    type PlacementCopy,
    type PlacementEngine,
    type PlacementGrant,
    type PlacementModel,
    type PlacementView,
} from "./placement.js";

/** At a move weight of 1, a copy is not exchanged for another one until it has been proved for this long. */
export const SETTLING_MILLISECONDS = 60_000;

function copyState(
    holder: ActiveHolder,
    state: EngineState,
    entry: LedgerEntry,
    nowMilliseconds: number,
): CopyState {
    const hasEvict = entry.openOrders.some(open => open.kind === "evict");
    if (hasOrderInProgress(state, subjectKey(entry))) {
        return hasEvict && findAwaited(state, subjectKey(entry))?.order.kind !== "load-model" ? "evicting" : "loading";
    }
    if (isProvedCopy(entry)) {
        return isMissingFromReports(state, entry, nowMilliseconds) ? "uncertain" : "proved";
    }
    return hasEvict && !holder.configuration.pool.checksFencing ? "stuck" : "uncertain";
}

/**
 * Returns whether the answer to a new evict would free an entry's memory, since no earlier load can take effect after
 * it.
 */
function isClearable(holder: ActiveHolder, entry: LedgerEntry): boolean {
    const hasLoad = entry.openOrders.some(open => open.kind === "load");
    return isCharged(entry) && (holder.configuration.pool.checksFencing || !hasLoad);
}

function copyOf(
    holder: ActiveHolder,
    state: EngineState,
    entry: LedgerEntry,
    nowMilliseconds: number,
): PlacementCopy {
    const key = subjectKey(entry);
    const since = state.provedSince.get(key);
    const settlingMilliseconds = SETTLING_MILLISECONDS * holder.configuration.deployment.placement.moveWeight;
    return {
        name: entry.name,
        version: entry.version,
        megabytes: isCharged(entry) ? entry.megabytes : 0,
        state: copyState(holder, state, entry, nowMilliseconds),
        clearable: isClearable(holder, entry) && !isBackingOff(state, `evict ${key}`, nowMilliseconds),
        draining: state.drainingSince.has(key),
        isSettling: since === undefined || nowMilliseconds - since < settlingMilliseconds,
    };
}

function isBackingOff(state: EngineState, key: string, nowMilliseconds: number): boolean {
    return (state.backoffs.get(key)?.untilMilliseconds ?? 0) > nowMilliseconds;
}

function grantOf(holder: ActiveHolder, state: EngineState, entry: LedgerEntry): PlacementGrant {
    const key = subjectKey(entry);
    const hasEvict = entry.openOrders.some(open => open.kind === "evict");
    const isFree = !hasOrderInProgress(state, key) && !hasEvict;
    const hasOlderLoad = entry.openOrders.some(open =>
        open.kind === "load" && open.fencing.epoch !== holder.lease.epoch
    );
    const canBeCleared = holder.configuration.pool.checksFencing
        || (!hasOlderLoad && !state.unansweredAdapterLoads.has(key));
    return {
        adapter: entry.name,
        model: entry.version,
        megabytes: entry.megabytes,
        clearable: isFree && canBeCleared,
        lastRequestedMilliseconds: holder.requestedAdapters.get(`${entry.version}:${entry.name}`) ?? 0,
    };
}

/** Adds the configured role that the engine does not have yet, so that memory for it is reserved. */
function withConfiguredRole(holder: ActiveHolder, record: EngineRecord): EngineRecord {
    const role = holder.configuration.pool.role;
    if (role === undefined || role === record.role.current) {
        return record;
    }
    const open = [...record.role.open, { fencing: record.lastFencing, role }];
    return { ...record, role: { ...record.role, open } };
}

function modelsWithFailedLoad(state: EngineState, nowMilliseconds: number): ReadonlySet<string> {
    const active = [...state.backoffs].filter(([, backoff]) =>
        backoff.answered && backoff.untilMilliseconds > nowMilliseconds
    );
    return new Set(active.map(([key]) => key));
}

function engineOf(
    holder: ActiveHolder,
    state: EngineState,
    draft: EngineRecord,
    capacity: EngineCapacity,
    nowMilliseconds: number,
): PlacementEngine {
    const models = draft.entries.filter(entry => entry.kind === "model");
    const adapters = draft.entries.filter(entry => entry.kind === "adapter");
    return {
        engine: state.name,
        zone: holder.configuration.pool.engines.find(engine => engine.name === state.name)?.zone ?? "",
        usable: isConfirmedEngine(holder, state, nowMilliseconds),
        freeMegabytes: capacity.memoryMegabytes - chargedMegabytes(withConfiguredRole(holder, draft), capacity.roles),
        copies: models.map(entry => copyOf(holder, state, entry, nowMilliseconds)),
        grants: adapters.map(entry => grantOf(holder, state, entry)),
        modelsWithFailedLoad: modelsWithFailedLoad(state, nowMilliseconds),
    };
}

function modelsOf(holder: ActiveHolder, nowMilliseconds: number): PlacementModel[] {
    const listed = holder.configuration.deployment.models.filter(model => model.pools.includes(holder.pool));
    return listed.map(model => {
        const { name, version, megabytes, pools, minimumCopies } = model;
        const isFirstPool = pools[0] === holder.pool;
        const rate = holder.demand.rateOf(name, undefined, nowMilliseconds);
        return { name, version, megabytes, minimumCopies: isFirstPool ? minimumCopies : 1, ...rate };
    });
}

function adaptersOf(holder: ActiveHolder, nowMilliseconds: number): PlacementAdapter[] {
    return holder.configuration.deployment.adapters.map(({ name, model, megabytes }) => ({
        name,
        model,
        megabytes,
        missedPerSecond: holder.demand.rateOf(model, name, nowMilliseconds).missedPerSecond,
        lastRequestedMilliseconds: holder.requestedAdapters.get(`${model}:${name}`) ?? 0,
    }));
}

/**
 * Builds the planner's input.
 *
 * @param holder State of the decision, with a valid lease.
 * @param drafts Each engine's record, with the outcomes of orders received so far.
 * @param nowMilliseconds The current time.
 */
export function buildView(
    holder: ActiveHolder,
    drafts: ReadonlyMap<string, EngineRecord>,
    nowMilliseconds: number,
): PlacementView {
    const engines = [...holder.engines.values()].flatMap(state => {
        const draft = drafts.get(state.name);
        return draft === undefined
            ? []
            : [engineOf(holder, state, draft, capacityOf(holder.configuration, state.name), nowMilliseconds)];
    });
    const models = modelsOf(holder, nowMilliseconds);
    const exchange = holder.exchange === undefined ? {} : { exchange: holder.exchange };
    return {
        engines,
        models,
        adapters: adaptersOf(holder, nowMilliseconds),
        intendedEngines: holder.intendedEngines,
        ...exchange,
    };
}
