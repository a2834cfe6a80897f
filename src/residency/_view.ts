/**
 * Turns the holder's state into what the placement planner looks at.
 *
 * @module
 */
import { type EngineRecord, type LedgerEntry } from "../generated/platform.js";
import { capacityOf } from "./_drafts.js";
import { type EngineState, findAwaited, isInMotion, subjectKey } from "./_engineState.js";
import { type ActiveHolder } from "./_holder.js";
import { isDoubted, isStandingEngine } from "./_standing.js";
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

/** A copy is not exchanged for another one before it has stood for this long, at a move weight of 1. */
export const SETTLING_MILLISECONDS = 60_000;

function copyState(
    holder: ActiveHolder,
    state: EngineState,
    entry: LedgerEntry,
    nowMilliseconds: number,
): CopyState {
    const hasEvict = entry.openOrders.some(open => open.kind === "evict");
    if (isInMotion(state, subjectKey(entry))) {
        return hasEvict && findAwaited(state, subjectKey(entry))?.order.kind !== "load-model" ? "evicting" : "loading";
    }
    if (isProvedCopy(entry)) {
        return isDoubted(state, entry, nowMilliseconds) ? "uncertain" : "proved";
    }
    return hasEvict && !holder.text.pool.checksFencing ? "stuck" : "uncertain";
}

/** Tells whether the answer to a new evict would free an entry's room: no load of an earlier order can follow it. */
function isClearable(holder: ActiveHolder, entry: LedgerEntry): boolean {
    const hasLoad = entry.openOrders.some(open => open.kind === "load");
    return isCharged(entry) && (holder.text.pool.checksFencing || !hasLoad);
}

function copyOf(
    holder: ActiveHolder,
    state: EngineState,
    entry: LedgerEntry,
    nowMilliseconds: number,
): PlacementCopy {
    const key = subjectKey(entry);
    const since = state.provedSince.get(key);
    const settlingMilliseconds = SETTLING_MILLISECONDS * holder.text.deployment.placement.moveWeight;
    return {
        name: entry.name,
        version: entry.version,
        megabytes: isCharged(entry) ? entry.megabytes : 0,
        state: copyState(holder, state, entry, nowMilliseconds),
        clearable: isClearable(holder, entry) && !isBackingOff(state, `evict ${key}`, nowMilliseconds),
        draining: state.draining.has(key),
        settling: since === undefined || nowMilliseconds - since < settlingMilliseconds,
    };
}

function isBackingOff(state: EngineState, key: string, nowMilliseconds: number): boolean {
    return (state.backoffs.get(key)?.untilMilliseconds ?? 0) > nowMilliseconds;
}

function grantOf(holder: ActiveHolder, state: EngineState, entry: LedgerEntry): PlacementGrant {
    const key = subjectKey(entry);
    const hasEvict = entry.openOrders.some(open => open.kind === "evict");
    const isFree = !isInMotion(state, key) && !hasEvict;
    const hasOlderLoad = entry.openOrders.some(open =>
        open.kind === "load" && open.fencing.epoch !== holder.lease.epoch
    );
    const canBeCleared = holder.text.pool.checksFencing || (!hasOlderLoad && !state.lostAdapters.has(key));
    return {
        adapter: entry.name,
        model: entry.version,
        megabytes: entry.megabytes,
        clearable: isFree && canBeCleared,
        lastWantedMilliseconds: holder.wantedAdapters.get(`${entry.version}:${entry.name}`) ?? 0,
    };
}

/** Adds the role that the engine has to take, so that its room is kept. */
function withRoleToCome(holder: ActiveHolder, record: EngineRecord): EngineRecord {
    const role = holder.text.pool.role;
    if (role === undefined || role === record.role.current) {
        return record;
    }
    const open = [...record.role.open, { fencing: record.lastFencing, role }];
    return { ...record, role: { ...record.role, open } };
}

function unfitModels(state: EngineState, nowMilliseconds: number): ReadonlySet<string> {
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
        zone: holder.text.pool.engines.find(engine => engine.name === state.name)?.zone ?? "",
        usable: isStandingEngine(holder, state, nowMilliseconds),
        freeMegabytes: capacity.memoryMegabytes - chargedMegabytes(withRoleToCome(holder, draft), capacity.roles),
        copies: models.map(entry => copyOf(holder, state, entry, nowMilliseconds)),
        grants: adapters.map(entry => grantOf(holder, state, entry)),
        unfit: unfitModels(state, nowMilliseconds),
    };
}

function modelsOf(holder: ActiveHolder, nowMilliseconds: number): PlacementModel[] {
    const listed = holder.text.deployment.models.filter(model => model.pools.includes(holder.pool));
    return listed.map(model => {
        const { name, version, megabytes, pools, minimumCopies } = model;
        const isFirstPool = pools[0] === holder.pool;
        const rate = holder.demand.rateOf(name, undefined, nowMilliseconds);
        return { name, version, megabytes, minimumCopies: isFirstPool ? minimumCopies : 1, ...rate };
    });
}

function adaptersOf(holder: ActiveHolder, nowMilliseconds: number): PlacementAdapter[] {
    return holder.text.deployment.adapters.map(({ name, model, megabytes }) => ({
        name,
        model,
        megabytes,
        missedPerSecond: holder.demand.rateOf(model, name, nowMilliseconds).missedPerSecond,
        lastWantedMilliseconds: holder.wantedAdapters.get(`${model}:${name}`) ?? 0,
    }));
}

/**
 * Builds the planner's view.
 *
 * @param holder The holder, active.
 * @param drafts The record of each engine with everything learned so far.
 * @param nowMilliseconds The time.
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
            : [engineOf(holder, state, draft, capacityOf(holder.text, state.name), nowMilliseconds)];
    });
    const models = modelsOf(holder, nowMilliseconds);
    const exchange = holder.exchange === undefined ? {} : { exchange: holder.exchange };
    return { engines, models, adapters: adaptersOf(holder, nowMilliseconds), intended: holder.intended, ...exchange };
}
