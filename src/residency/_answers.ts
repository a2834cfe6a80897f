/**
 * What becomes of orders that were sent.
 *
 * @module
 */
import { match, P } from "ts-pattern";
import { type EngineOrder, type EngineOrderAnswer } from "../generated/upstreams.js";
import { type AwaitedOrder, type EngineState, type LedgerFact, orderKey, orderSubjectKey } from "./_engineState.js";
import { ASSUMED_LOAD_MILLISECONDS } from "./_recordKeeping.js";

const FIRST_BACKOFF_MILLISECONDS = 500;
const LONGEST_BACKOFF_MILLISECONDS = 30_000;
/** An order without any word from the shell counts as unanswered after this long. */
const ANSWER_TIMEOUT_MILLISECONDS = 120_000;

/** Backoffs of evicts stand apart from those of loads of the same subject. */
function backoffKey(order: EngineOrder): string {
    const isEvict = order.kind === "evict-model" || order.kind === "evict-adapter";
    return isEvict ? `evict ${orderSubjectKey(order)}` : orderSubjectKey(order);
}

function backOff(state: EngineState, order: EngineOrder, answered: boolean, nowMilliseconds: number): void {
    const key = backoffKey(order);
    const failures = (state.backoffs.get(key)?.failures ?? 0) + 1;
    const wait = Math.min(LONGEST_BACKOFF_MILLISECONDS, FIRST_BACKOFF_MILLISECONDS * 2 ** (failures - 1));
    state.backoffs.set(key, { untilMilliseconds: nowMilliseconds + wait, failures, answered });
}

function addFact(state: EngineState, awaited: AwaitedOrder, outcome: LedgerFact["outcome"]): void {
    state.facts.push({ order: awaited.order, incarnation: awaited.incarnation, outcome });
}

function takeAwaited(state: EngineState, order: EngineOrder): AwaitedOrder | undefined {
    const awaited = state.awaited.get(orderKey(order));
    state.awaited.delete(orderKey(order));
    return awaited;
}

function keepOpen(state: EngineState, { order }: AwaitedOrder, nowMilliseconds: number): void {
    backOff(state, order, false, nowMilliseconds);
    state.nextReportAtMilliseconds = nowMilliseconds;
    if (order.kind === "load-model") {
        state.lostLoads.set(orderSubjectKey(order), nowMilliseconds + ASSUMED_LOAD_MILLISECONDS);
    }
    if (order.kind === "load-adapter") {
        state.lostAdapters.add(orderSubjectKey(order));
    }
}

/** Takes an engine's answer; one from another incarnation than the order was meant for proves nothing. */
export function takeAnswer(
    state: EngineState,
    order: EngineOrder,
    answer: EngineOrderAnswer,
    checksFencing: boolean,
    nowMilliseconds: number,
): void {
    const awaited = takeAwaited(state, order);
    if (awaited === undefined) {
        return;
    }
    if (awaited.incarnation !== answer.incarnation) {
        keepOpen(state, awaited, nowMilliseconds);
        return;
    }
    addFact(state, awaited, answer.outcome);
    match(answer.outcome)
        .with("done", () => {
            state.backoffs.delete(backoffKey(order));
            state.unreported.delete(orderSubjectKey(order));
            state.draining.delete(orderSubjectKey(order));
            if (checksFencing) {
                state.lostAdapters.delete(orderSubjectKey(order));
            }
        })
        .with("refused-fencing", () => undefined)
        .with(P.union("refused-memory", "failed"), () => backOff(state, order, true, nowMilliseconds))
        .exhaustive();
}

/** Takes the word that no answer came: the order stays open. */
export function takeSilence(state: EngineState, order: EngineOrder, nowMilliseconds: number): void {
    const awaited = takeAwaited(state, order);
    if (awaited !== undefined) {
        keepOpen(state, awaited, nowMilliseconds);
    }
}

/** Takes the word that an order was never sent; most likely the engine has restarted. */
export function takeNotSent(state: EngineState, order: EngineOrder, nowMilliseconds: number): void {
    const awaited = takeAwaited(state, order);
    if (awaited !== undefined) {
        addFact(state, awaited, "not-sent");
        backOff(state, order, false, nowMilliseconds);
        state.nextReportAtMilliseconds = nowMilliseconds;
    }
}

/** Gives up on orders of which the shell has said nothing for very long. */
export function expireAwaited(state: EngineState, nowMilliseconds: number): void {
    for (const awaited of [...state.awaited.values()]) {
        if (nowMilliseconds - awaited.sentAtMilliseconds >= ANSWER_TIMEOUT_MILLISECONDS) {
            takeSilence(state, awaited.order, nowMilliseconds);
        }
    }
}
