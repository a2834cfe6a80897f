/**
 * Handles the outcomes of orders that were sent: answers, lost answers, and orders that were never sent.
 *
 * @module
 */
import { match, P } from "ts-pattern";
import { type EngineOrder, type EngineOrderAnswer } from "../generated/upstreams.js";
import {
    type AwaitedOrder,
    type EngineState,
    orderKey,
    orderSubjectKey,
    type UnrecordedOutcome,
} from "./_engineState.js";
import { ASSUMED_LOAD_DURATION_MILLISECONDS } from "./_recordKeeping.js";

const INITIAL_BACKOFF_MILLISECONDS = 500;
const MAXIMUM_BACKOFF_MILLISECONDS = 30_000;
/** An order whose outcome is not reported to the decision within this time counts as unanswered. */
const ANSWER_TIMEOUT_MILLISECONDS = 120_000;

/** Returns the backoff key of an order; evicts and loads of the same model or adapter back off separately. */
function backoffKey(order: EngineOrder): string {
    const isEvict = order.kind === "evict-model" || order.kind === "evict-adapter";
    return isEvict ? `evict ${orderSubjectKey(order)}` : orderSubjectKey(order);
}

function applyBackoff(state: EngineState, order: EngineOrder, answered: boolean, nowMilliseconds: number): void {
    const key = backoffKey(order);
    const failures = (state.backoffs.get(key)?.failures ?? 0) + 1;
    const wait = Math.min(MAXIMUM_BACKOFF_MILLISECONDS, INITIAL_BACKOFF_MILLISECONDS * 2 ** (failures - 1));
    state.backoffs.set(key, { untilMilliseconds: nowMilliseconds + wait, failures, answered });
}

function addUnrecordedOutcome(state: EngineState, awaited: AwaitedOrder, outcome: UnrecordedOutcome["outcome"]): void {
    state.unrecordedOutcomes.push({ order: awaited.order, incarnation: awaited.incarnation, outcome });
}

function removeAwaitedOrder(state: EngineState, order: EngineOrder): AwaitedOrder | undefined {
    const awaited = state.awaitedOrders.get(orderKey(order));
    state.awaitedOrders.delete(orderKey(order));
    return awaited;
}

function recordUnanswered(state: EngineState, { order }: AwaitedOrder, nowMilliseconds: number): void {
    applyBackoff(state, order, false, nowMilliseconds);
    state.nextReportAtMilliseconds = nowMilliseconds;
    if (order.kind === "load-model") {
        state.unansweredLoads.set(orderSubjectKey(order), nowMilliseconds + ASSUMED_LOAD_DURATION_MILLISECONDS);
    }
    if (order.kind === "load-adapter") {
        state.unansweredAdapterLoads.add(orderSubjectKey(order));
    }
}

/** Handles an engine's answer; one from another incarnation than the order was sent to is treated as no answer. */
export function handleOrderAnswer(
    state: EngineState,
    order: EngineOrder,
    answer: EngineOrderAnswer,
    checksFencing: boolean,
    nowMilliseconds: number,
): void {
    const awaited = removeAwaitedOrder(state, order);
    if (awaited === undefined) {
        return;
    }
    if (awaited.incarnation !== answer.incarnation) {
        recordUnanswered(state, awaited, nowMilliseconds);
        return;
    }
    addUnrecordedOutcome(state, awaited, answer.outcome);
    match(answer.outcome)
        .with("done", () => {
            state.backoffs.delete(backoffKey(order));
            state.unreportedSince.delete(orderSubjectKey(order));
            state.drainingSince.delete(orderSubjectKey(order));
            if (checksFencing) {
                state.unansweredAdapterLoads.delete(orderSubjectKey(order));
            }
        })
        .with("refused-fencing", () => undefined)
        .with(P.union("refused-memory", "failed"), () => applyBackoff(state, order, true, nowMilliseconds))
        .exhaustive();
}

/** Handles an order without an answer; it stays open in the ledger, since it may have taken effect. */
export function handleOrderUnanswered(state: EngineState, order: EngineOrder, nowMilliseconds: number): void {
    const awaited = removeAwaitedOrder(state, order);
    if (awaited !== undefined) {
        recordUnanswered(state, awaited, nowMilliseconds);
    }
}

/** Handles an order that was never sent, most likely because the engine has restarted; its report is read at once. */
export function handleOrderNotSent(state: EngineState, order: EngineOrder, nowMilliseconds: number): void {
    const awaited = removeAwaitedOrder(state, order);
    if (awaited !== undefined) {
        addUnrecordedOutcome(state, awaited, "not-sent");
        applyBackoff(state, order, false, nowMilliseconds);
        state.nextReportAtMilliseconds = nowMilliseconds;
    }
}

/** Handles orders that reached the answer timeout as unanswered. */
export function expireAwaitedOrders(state: EngineState, nowMilliseconds: number): void {
    for (const awaited of [...state.awaitedOrders.values()]) {
        if (nowMilliseconds - awaited.sentAtMilliseconds >= ANSWER_TIMEOUT_MILLISECONDS) {
            handleOrderUnanswered(state, awaited.order, nowMilliseconds);
        }
    }
}
