/**
 * Composes the next record of an engine from the stored one and the outcomes received since.
 *
 * @module
 */
import { type Deployment, type Pool } from "../generated/deployment.js";
import { type EngineRecord, type LedgerEntry } from "../generated/platform.js";
import { type EngineState, subjectKey, type UnrecordedOutcome } from "./_engineState.js";
import { startLedger } from "./_startLedger.js";
import { closeWithoutEffect, type EngineCapacity, recordAnswer } from "./ledger.js";

/** The deployment configuration, with the part of one pool. */
export interface PoolConfiguration {
    readonly deployment: Deployment;
    readonly revision: number;
    readonly pool: Pool;
}

/** Returns an engine's memory and role sizes; an engine that the configuration does not list has no memory. */
export function capacityOf(configuration: PoolConfiguration, engine: string): EngineCapacity {
    const { pool } = configuration;
    const listed = pool.engines.find(({ name }) => name === engine);
    const memoryMegabytes = listed === undefined ? 0 : listed.memoryMegabytes ?? pool.memoryMegabytes;
    return { memoryMegabytes, roles: pool.roles };
}

function applyOutcome(
    record: EngineRecord,
    unrecorded: UnrecordedOutcome,
    configuration: PoolConfiguration,
): EngineRecord {
    if (unrecorded.incarnation !== record.incarnation) {
        return record;
    }
    return unrecorded.outcome === "not-sent"
        ? closeWithoutEffect(record, unrecorded.order)
        : recordAnswer(record, unrecorded.order, unrecorded.outcome, configuration.pool);
}

function hasOwnGrant(entry: LedgerEntry, epoch: number): boolean {
    return entry.openOrders.some(open => open.kind === "load" && open.fencing.epoch === epoch);
}

/**
 * Ends this holder's grant of an adapter, unless one of its loads is awaited or was never answered. Afterwards only
 * orders of earlier holders can still load the adapter.
 */
export function endOwnGrant(state: EngineState, record: EngineRecord, entry: LedgerEntry, epoch: number): EngineRecord {
    const key = subjectKey(entry);
    const isAwaited = [...state.awaitedOrders.values()].some(({ order }) =>
        order.kind === "load-adapter" && order.name === entry.name && order.model === entry.version
    );
    if (!hasOwnGrant(entry, epoch) || isAwaited || state.unansweredAdapterLoads.has(key)) {
        return record;
    }
    const openOrders = entry.openOrders.filter(open => open.kind !== "load" || open.fencing.epoch !== epoch);
    return { ...record, entries: record.entries.map(known => known === entry ? { ...entry, openOrders } : known) };
}

function closeFinishedGrants(state: EngineState, record: EngineRecord, epoch: number): EngineRecord {
    const finished = record.entries.filter(entry => entry.kind === "adapter" && entry.resident);
    return finished.reduce((draft, entry) => endOwnGrant(state, draft, entry, epoch), record);
}

/** Returns the record with the outcomes received so far; `undefined` while the engine has no known record. */
export function composeDraft(
    state: EngineState,
    configuration: PoolConfiguration,
    epoch: number,
): EngineRecord | undefined {
    const base = state.newIncarnation === undefined
        ? state.record
        : startLedger({
            report: state.newIncarnation,
            lastFencing: state.record?.lastFencing ?? { epoch, sequence: 0 },
            capacity: capacityOf(configuration, state.name),
            models: configuration.deployment.models,
            adapters: configuration.deployment.adapters,
        });
    if (base === undefined) {
        return undefined;
    }
    const updated = state.unrecordedOutcomes.reduce(
        (record, unrecorded) => applyOutcome(record, unrecorded, configuration),
        base,
    );
    const closed = closeFinishedGrants(state, updated, epoch);
    const lastFencing = closed.lastFencing.epoch < epoch ? { epoch, sequence: 0 } : closed.lastFencing;
    const deploymentRevision = Math.max(closed.deploymentRevision ?? 0, configuration.revision);
    return { ...closed, lastFencing, deploymentRevision };
}

/** Returns whether two records differ in more than their write identifier. */
export function hasDifferentContent(left: EngineRecord | undefined, right: EngineRecord): boolean {
    return left === undefined || JSON.stringify({ ...left, writeIdentifier: "" })
            !== JSON.stringify({ ...right, writeIdentifier: "" });
}
