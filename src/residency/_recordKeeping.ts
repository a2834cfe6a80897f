/**
 * Reads and writes engine records: one operation at a time for each engine. An order is sent only after the write of
 * its intent is known to have taken effect.
 *
 * @module
 */
import { type EngineRecord } from "../generated/platform.js";
import { type EngineOrder } from "../generated/upstreams.js";
import { mayEvictModel } from "./_copyStatus.js";
import { composeDraft, hasDifferentContent } from "./_drafts.js";
import { type EngineState, orderKey, orderSubjectKey, type PendingWrite, subjectKey } from "./_engineState.js";
import { type ActiveHolder, type Holder } from "./_holder.js";
import { findEntry } from "./ledger.js";

const READ_RETRY_DELAY_MILLISECONDS = 500;
/** How long a load without an answer counts as running, for the limit of concurrent loads from the weight store. */
export const ASSUMED_LOAD_DURATION_MILLISECONDS = 10_000;

/** Reads a record that is not known, except within the retry delay of a failed read. */
export function readIfNeeded(holder: Holder, state: EngineState, nowMilliseconds: number): void {
    if (state.phase === "unread" && nowMilliseconds >= state.readAgainAtMilliseconds) {
        state.phase = "reading";
        holder.effects.push({ type: "read-record", engine: state.name });
    }
}

/**
 * Applies a record that was read. It also shows whether a pending write took effect whose answer was lost. A record
 * with a later epoch means that another host holds the lease; this holder then stops.
 */
export function handleRecordRead(
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
        assumeInheritedLoadsRunning(state, record, nowMilliseconds);
    }
    state.record = record;
    state.storeRevision = storeRevision;
    state.hasStoredEpoch = false;
    state.phase = "ready";
}

/** Counts open loads of earlier holders as running, since they may still be reading from the weight store. */
function assumeInheritedLoadsRunning(state: EngineState, record: EngineRecord, nowMilliseconds: number): void {
    for (const entry of record.entries) {
        if (entry.kind === "model" && entry.openOrders.some(open => open.kind === "load")) {
            state.unansweredLoads.set(subjectKey(entry), nowMilliseconds + ASSUMED_LOAD_DURATION_MILLISECONDS);
        }
    }
}

/**
 * Discards a write that has not taken effect. Since it may do so later, its orders are recorded as not sent, so that
 * the next write closes them.
 */
function dropPendingWrite(state: EngineState): void {
    const pending = state.pendingWrite;
    state.pendingWrite = undefined;
    for (const order of pending?.orders ?? []) {
        state.unrecordedOutcomes.push({ order, incarnation: pending?.record.incarnation ?? "", outcome: "not-sent" });
    }
}

/** Handles a write that conflicted or whose outcome is unknown: the record has to be read again. */
export function handleWriteConflict(state: EngineState, writeIdentifier: string): void {
    if (state.phase === "writing" && state.pendingWrite?.record.writeIdentifier === writeIdentifier) {
        state.phase = "unread";
        state.readAgainAtMilliseconds = 0;
    }
}

/** Handles a write that the store confirmed. */
export function handleRecordWritten(
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
    state.hasStoredEpoch = true;
    state.phase = "ready";
    state.pendingWrite = undefined;
    state.unrecordedOutcomes.splice(0, pending.outcomeCount);
    for (const order of pending.orders) {
        sendRecordedOrder(holder, state, pending, order, nowMilliseconds);
    }
}

/** Sends an order whose intent is stored; an evict only if it is still permitted after the time that the write took. */
function sendRecordedOrder(
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
        state.unrecordedOutcomes.push({ order, incarnation: record.incarnation, outcome: "not-sent" });
        return;
    }
    sendOrder(holder, state, order, nowMilliseconds);
}

/** Emits the effect that sends an order; the stored record must contain its intent. */
export function sendOrder(holder: ActiveHolder, state: EngineState, order: EngineOrder, nowMilliseconds: number): void {
    const incarnation = state.record?.incarnation ?? "";
    state.unansweredLoads.delete(orderSubjectKey(order));
    state.awaitedOrders.set(orderKey(order), { order, incarnation, sentAtMilliseconds: nowMilliseconds });
    holder.effects.push({ type: "send-order", engine: state.name, incarnation, order });
}

/** Schedules a retry of a failed read. */
export function handleReadFailure(state: EngineState, nowMilliseconds: number): void {
    if (state.phase === "reading") {
        state.phase = "unread";
        state.readAgainAtMilliseconds = nowMilliseconds + READ_RETRY_DELAY_MILLISECONDS;
    }
}

/**
 * Writes an engine's next record, if it differs from the stored one.
 *
 * @param holder State of the decision, with a valid lease.
 * @param state The engine; its record must be known, with no write in progress.
 * @param draft The record to write.
 * @param orders Orders whose intents the draft contains, to be sent after the write.
 * @param hasIntents True where the draft contains new intents, whether or not their orders are in `orders`.
 */
export function writeDraft(
    holder: ActiveHolder,
    state: EngineState,
    draft: EngineRecord,
    orders: readonly EngineOrder[],
    hasIntents: boolean,
): void {
    const hasUnrecordedChanges = state.unrecordedOutcomes.length > 0 || state.newIncarnation !== undefined;
    const hasSameConfiguration = state.record?.deploymentRevision === draft.deploymentRevision;
    if (
        state.hasStoredEpoch
        && ((!hasUnrecordedChanges && !hasIntents && hasSameConfiguration) || !hasDifferentContent(state.record, draft))
    ) {
        return;
    }
    const record = { ...draft, writeIdentifier: holder.createIdentifier() };
    state.pendingWrite = { record, orders, outcomeCount: state.unrecordedOutcomes.length };
    state.phase = "writing";
    const expectedStoreRevision = state.storeRevision;
    holder.effects.push({ type: "write-record", engine: state.name, record, expectedStoreRevision });
}

/** Returns an engine's record with the outcomes received so far and no new intents. */
export function currentDraft(holder: ActiveHolder, state: EngineState): EngineRecord | undefined {
    return composeDraft(state, holder.configuration, holder.lease.epoch);
}
