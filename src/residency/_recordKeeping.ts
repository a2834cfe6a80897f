/**
 * Reads and writes engine records: one operation at a time for each engine, and nothing is sent before its write is
 * known to have taken effect.
 *
 * @module
 */
import { type EngineRecord } from "../generated/platform.js";
import { type EngineOrder } from "../generated/upstreams.js";
import { composeDraft, differs } from "./_drafts.js";
import { type EngineState, orderKey, orderSubjectKey, type PendingWrite, subjectKey } from "./_engineState.js";
import { type ActiveHolder, type Holder } from "./_holder.js";
import { mayEvictModel } from "./_standing.js";
import { findEntry } from "./ledger.js";

const READ_RETRY_MILLISECONDS = 500;
/** How long a load without an answer counts as running at the weight store. */
export const ASSUMED_LOAD_MILLISECONDS = 10_000;

/** Reads a record that is not known, unless the store has just failed to answer. */
export function readIfNeeded(holder: Holder, state: EngineState, nowMilliseconds: number): void {
    if (state.phase === "unread" && nowMilliseconds >= state.readAgainAtMilliseconds) {
        state.phase = "reading";
        holder.effects.push({ type: "read-record", engine: state.name });
    }
}

/** Takes the answer to a read; finds out whether a write whose answer was lost took effect. */
export function takeRecord(
    holder: ActiveHolder,
    state: EngineState,
    record: EngineRecord | undefined,
    storeRevision: number,
    nowMilliseconds: number,
): void {
    if (state.phase !== "reading") {
        return;
    }
    if (record !== undefined && record.lastFencing.epoch > holder.lease.epoch) {
        const superseded: Holder = holder;
        superseded.lease = undefined;
        return;
    }
    const pending = state.pendingWrite;
    if (pending !== undefined && record?.writeIdentifier === pending.record.writeIdentifier) {
        finishWrite(holder, state, storeRevision, nowMilliseconds);
        return;
    }
    dropPendingWrite(state);
    if (record?.incarnation !== state.record?.incarnation) {
        state.pendingReport = undefined;
        state.newIncarnation = undefined;
        state.confirmedAtMilliseconds = undefined;
    }
    if (state.record === undefined && record !== undefined) {
        inheritLoads(state, record, nowMilliseconds);
    }
    state.record = record;
    state.storeRevision = storeRevision;
    state.stamped = false;
    state.phase = "ready";
}

/** Loads of earlier holders may still be running at the weight store. */
function inheritLoads(state: EngineState, record: EngineRecord, nowMilliseconds: number): void {
    for (const entry of record.entries) {
        if (entry.kind === "model" && entry.openOrders.some(open => open.kind === "load")) {
            state.lostLoads.set(subjectKey(entry), nowMilliseconds + ASSUMED_LOAD_MILLISECONDS);
        }
    }
}

/** Forgets a write that did not take effect yet; should it do so later, its orders are known not to have been sent. */
function dropPendingWrite(state: EngineState): void {
    const pending = state.pendingWrite;
    state.pendingWrite = undefined;
    for (const order of pending?.orders ?? []) {
        state.facts.push({ order, incarnation: pending?.record.incarnation ?? "", outcome: "not-sent" });
    }
}

/** Takes the word of the store that a write conflicted: what the record says now has to be read. */
export function takeConflict(state: EngineState, writeIdentifier: string): void {
    if (state.phase === "writing" && state.pendingWrite?.record.writeIdentifier === writeIdentifier) {
        state.phase = "unread";
        state.readAgainAtMilliseconds = 0;
    }
}

/** Takes the store's answer to a write. */
export function takeWritten(
    holder: ActiveHolder,
    state: EngineState,
    writeIdentifier: string,
    storeRevision: number,
    nowMilliseconds: number,
): void {
    if (state.phase === "writing" && state.pendingWrite?.record.writeIdentifier === writeIdentifier) {
        finishWrite(holder, state, storeRevision, nowMilliseconds);
    }
}

function finishWrite(holder: ActiveHolder, state: EngineState, storeRevision: number, nowMilliseconds: number): void {
    const pending = state.pendingWrite;
    if (pending === undefined) {
        return;
    }
    if (pending.record.incarnation === state.newIncarnation?.incarnation) {
        state.newIncarnation = undefined;
        state.provedSince.clear();
    }
    state.record = pending.record;
    state.storeRevision = storeRevision;
    state.stamped = true;
    state.phase = "ready";
    state.pendingWrite = undefined;
    state.facts.splice(0, pending.factCount);
    for (const order of pending.orders) {
        sendRecorded(holder, state, pending, order, nowMilliseconds);
    }
}

/** Sends an order whose intent is stored; an evict only if another copy still stands. */
function sendRecorded(
    holder: ActiveHolder,
    state: EngineState,
    { record }: PendingWrite,
    order: EngineOrder,
    nowMilliseconds: number,
): void {
    const entry = order.kind === "evict-model"
        ? findEntry(record, "model", order.name, order.version ?? "")
        : undefined;
    const drafts = new Map([[state.name, record]]);
    if (entry !== undefined && !mayEvictModel(holder, state, entry, order, drafts, nowMilliseconds)) {
        state.facts.push({ order, incarnation: record.incarnation, outcome: "not-sent" });
        return;
    }
    sendOrder(holder, state, order, nowMilliseconds);
}

/** Hands an order to the shell; its intent is in the stored record. */
export function sendOrder(holder: ActiveHolder, state: EngineState, order: EngineOrder, nowMilliseconds: number): void {
    const incarnation = state.record?.incarnation ?? "";
    state.lostLoads.delete(orderSubjectKey(order));
    state.awaited.set(orderKey(order), { order, incarnation, sentAtMilliseconds: nowMilliseconds });
    holder.effects.push({ type: "send-order", engine: state.name, incarnation, order });
}

/** Puts a failed read off for a while. */
export function takeReadFailure(state: EngineState, nowMilliseconds: number): void {
    if (state.phase === "reading") {
        state.phase = "unread";
        state.readAgainAtMilliseconds = nowMilliseconds + READ_RETRY_MILLISECONDS;
    }
}

/**
 * Writes an engine's next record, if it differs from the stored one.
 *
 * @param holder The holder, active.
 * @param state The engine; its record has to be known, with no write under way.
 * @param draft The record to write.
 * @param orders Orders whose intents the draft contains, to be sent after the write.
 * @param hasIntents True where the draft contains intents, be they to be sent at once or not.
 */
export function writeDraft(
    holder: ActiveHolder,
    state: EngineState,
    draft: EngineRecord,
    orders: readonly EngineOrder[],
    hasIntents: boolean,
): void {
    const isLearned = state.facts.length > 0 || state.newIncarnation !== undefined;
    const isOfText = state.record?.deploymentRevision === draft.deploymentRevision;
    if (state.stamped && ((!isLearned && !hasIntents && isOfText) || !differs(state.record, draft))) {
        return;
    }
    const record = { ...draft, writeIdentifier: holder.createIdentifier() };
    state.pendingWrite = { record, orders, factCount: state.facts.length };
    state.phase = "writing";
    const expectedStoreRevision = state.storeRevision;
    holder.effects.push({ type: "write-record", engine: state.name, record, expectedStoreRevision });
}

/** Composes an engine's record with nothing new but what was learned. */
export function currentDraft(holder: ActiveHolder, state: EngineState): EngineRecord | undefined {
    return composeDraft(state, holder.text, holder.lease.epoch);
}
