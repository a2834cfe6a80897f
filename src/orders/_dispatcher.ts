/**
 * Sends each order to its plain service at most once.
 *
 * @module
 */
import { type RandomSource } from "../decision/index.js";
import { type OrderOutcome, type OrderResult } from "../generated/peers.js";
import { type CallTarget } from "./_calls.js";
import { refuse } from "./_outcomes.js";
import { type Order, type OrdersEffect } from "./messages.js";

interface Dispatch {
    readonly order: Order;
    readonly call: CallTarget;
    /** Upstreams not tried yet; the next one is used only where no byte reached the one before. */
    readonly untriedUrls: string[];
    deadlineMilliseconds: number;
}

/** Failure of a call; `notSent` is true only where no byte can have reached the plain service. */
export interface DispatchFailure {
    readonly notSent: boolean;
    readonly message: string;
}

/** Orders that were sent to a plain service and have no outcome yet. */
export interface Dispatcher {
    start(order: Order, call: CallTarget, nowMilliseconds: number): void;
    handleResult(key: string, result: OrderResult, nowMilliseconds: number): void;
    handleFailure(key: string, failure: DispatchFailure, nowMilliseconds: number): void;
    tick(nowMilliseconds: number): void;
    has(key: string): boolean;
    readonly size: number;
}

/** Options of the dispatcher. */
export interface DispatcherOptions {
    readonly emit: (effect: OrdersEffect) => void;
    readonly random: RandomSource;
    readonly onOutcome: (key: string, outcome: OrderOutcome, nowMilliseconds: number) => void;
}

/** How long past a call's timeout the decision waits until the call's outcome is reported to it. */
const REPORT_MARGIN_MILLISECONDS = 1_000;
const RETRY_AFTER_MILLISECONDS = 1_000;

/** Returns a shuffled copy, so that hosts do not all start with the same upstream. */
export function shuffle<Item>(items: readonly Item[], random: RandomSource): Item[] {
    const shuffled = [...items];
    for (let index = shuffled.length - 1; index > 0; index -= 1) {
        const other = Math.floor(random() * (index + 1));
        [shuffled[index], shuffled[other]] = [shuffled[other] as Item, shuffled[index] as Item];
    }
    return shuffled;
}

/** Creates a dispatcher without orders. */
export function createDispatcher(options: DispatcherOptions): Dispatcher {
    const { emit, onOutcome } = options;
    const dispatches = new Map<string, Dispatch>();

    function send(dispatch: Dispatch, nowMilliseconds: number): boolean {
        const url = dispatch.untriedUrls.pop();
        if (url === undefined) {
            return false;
        }
        const { timeoutMilliseconds } = dispatch.call;
        dispatch.deadlineMilliseconds = nowMilliseconds + timeoutMilliseconds + REPORT_MARGIN_MILLISECONDS;
        emit({ type: "dispatch", order: dispatch.order, url, timeoutMilliseconds });
        return true;
    }

    function start(order: Order, call: CallTarget, nowMilliseconds: number): void {
        const dispatch = { order, call, untriedUrls: shuffle(call.urls, options.random), deadlineMilliseconds: 0 };
        dispatches.set(order.key, dispatch);
        send(dispatch, nowMilliseconds);
    }

    function finish(key: string, outcome: OrderOutcome, nowMilliseconds: number): void {
        dispatches.delete(key);
        onOutcome(key, outcome, nowMilliseconds);
    }

    function handleFailure(key: string, failure: DispatchFailure, nowMilliseconds: number): void {
        const dispatch = dispatches.get(key);
        if (dispatch === undefined) {
            return;
        }
        if (!failure.notSent) {
            finish(key, refuse("upstream-failed", "may-have-run", { message: failure.message }), nowMilliseconds);
            return;
        }
        if (send(dispatch, nowMilliseconds)) {
            emit({ type: "count-retry", reason: "not-sent", service: dispatch.order.service });
            return;
        }
        const message = `${failure.message}; repeat the order with a new key`;
        finish(
            key,
            refuse("upstream-failed", "not-run", { message, retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS }),
            nowMilliseconds,
        );
    }

    function tick(nowMilliseconds: number): void {
        for (const [key, { deadlineMilliseconds }] of dispatches) {
            if (nowMilliseconds >= deadlineMilliseconds) {
                const message = "the plain service did not answer";
                finish(key, refuse("upstream-failed", "may-have-run", { message }), nowMilliseconds);
            }
        }
    }

    return {
        start,
        handleFailure,
        tick,
        handleResult: (key, result, nowMilliseconds) => finish(key, { type: "answered", result }, nowMilliseconds),
        has: key => dispatches.has(key),
        get size() {
            return dispatches.size;
        },
    };
}
