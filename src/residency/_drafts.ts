/**
 * Composes the next record of an engine from the stored one and what has been learned since.
 *
 * @module
 */
import { type Deployment, type Pool } from "../generated/deployment.js";
import { type EngineRecord, type LedgerEntry } from "../generated/platform.js";
import { type EngineState, type LedgerFact, subjectKey } from "./_engineState.js";
import { startLedger } from "./_startLedger.js";
import { closeWithoutEffect, type EngineCapacity, recordAnswer } from "./ledger.js";

/** The operators' text, as one pool's holder sees it. */
export interface PoolText {
    readonly deployment: Deployment;
    readonly revision: number;
    readonly pool: Pool;
}

/** Returns what bounds the ledger of an engine; nothing fits an engine that the text does not list. */
export function capacityOf(text: PoolText, engine: string): EngineCapacity {
    const { pool } = text;
    const listed = pool.engines.find(({ name }) => name === engine);
    const memoryMegabytes = listed === undefined ? 0 : listed.memoryMegabytes ?? pool.memoryMegabytes;
    return { memoryMegabytes, roles: pool.roles };
}

function applyFact(record: EngineRecord, fact: LedgerFact, text: PoolText): EngineRecord {
    if (fact.incarnation !== record.incarnation) {
        return record;
    }
    return fact.outcome === "not-sent"
        ? closeWithoutEffect(record, fact.order)
        : recordAnswer(record, fact.order, fact.outcome, text.pool);
}

function hasOwnGrant(entry: LedgerEntry, epoch: number): boolean {
    return entry.openOrders.some(open => open.kind === "load" && open.fencing.epoch === epoch);
}

/**
 * Ends this holder's grant of an adapter where none of its loads is awaited or lost: nothing can load it any more but
 * orders of earlier holders.
 */
export function endOwnGrant(state: EngineState, record: EngineRecord, entry: LedgerEntry, epoch: number): EngineRecord {
    const key = subjectKey(entry);
    const isAwaited = [...state.awaited.values()].some(({ order }) =>
        order.kind === "load-adapter" && order.name === entry.name && order.model === entry.version
    );
    if (!hasOwnGrant(entry, epoch) || isAwaited || state.lostAdapters.has(key)) {
        return record;
    }
    const openOrders = entry.openOrders.filter(open => open.kind !== "load" || open.fencing.epoch !== epoch);
    return { ...record, entries: record.entries.map(known => known === entry ? { ...entry, openOrders } : known) };
}

function closeFinishedGrants(state: EngineState, record: EngineRecord, epoch: number): EngineRecord {
    const finished = record.entries.filter(entry => entry.kind === "adapter" && entry.resident);
    return finished.reduce((draft, entry) => endOwnGrant(state, draft, entry, epoch), record);
}

/** Returns the record as it would be with everything learned so far; `undefined` while the engine is unknown. */
export function composeDraft(state: EngineState, text: PoolText, epoch: number): EngineRecord | undefined {
    const base = state.newIncarnation === undefined
        ? state.record
        : startLedger({
            report: state.newIncarnation,
            lastFencing: state.record?.lastFencing ?? { epoch, sequence: 0 },
            capacity: capacityOf(text, state.name),
            models: text.deployment.models,
            adapters: text.deployment.adapters,
        });
    if (base === undefined) {
        return undefined;
    }
    const learned = state.facts.reduce((record, fact) => applyFact(record, fact, text), base);
    const closed = closeFinishedGrants(state, learned, epoch);
    const lastFencing = closed.lastFencing.epoch < epoch ? { epoch, sequence: 0 } : closed.lastFencing;
    const deploymentRevision = Math.max(closed.deploymentRevision ?? 0, text.revision);
    return { ...closed, lastFencing, deploymentRevision };
}

/** Tells whether two records differ in more than their write identifier. */
export function differs(left: EngineRecord | undefined, right: EngineRecord): boolean {
    return left === undefined || JSON.stringify({ ...left, writeIdentifier: "" })
            !== JSON.stringify({ ...right, writeIdentifier: "" });
}
