/**
 * Calls that may be repeated: sent again within a budget, without a key.
 *
 * @module
 */
import { type RandomSource } from "../decision/index.js";
import { type OrderOutcome, type OrderResult } from "../generated/peers.js";
import { type FoundCall } from "./_calls.js";
import { type DispatchFailure, shuffle } from "./_dispatcher.js";
import { refuse } from "./_outcomes.js";
import { type Order, type OrdersEffect } from "./messages.js";

interface IdempotentCall {
    readonly identifier: string;
    readonly order: Order;
    readonly call: FoundCall;
    readonly urls: readonly string[];
    /** Until when another attempt may begin. */
    readonly retryUntilMilliseconds: number;
    attempts: number;
    /** Whether an attempt may have reached the service. */
    mayHaveRun: boolean;
    deadlineMilliseconds: number;
    /** Set while the call waits for its next attempt. */
    retryAtMilliseconds: number | undefined;
}

/** Idempotent calls in progress. */
export interface IdempotentCalls {
    begin(identifier: string, order: Order, call: FoundCall, nowMilliseconds: number): void;
    answered(key: string, result: OrderResult): void;
    failed(key: string, failure: DispatchFailure, nowMilliseconds: number): void;
    abandon(identifier: string): void;
    has(key: string): boolean;
    tick(nowMilliseconds: number): void;
    readonly size: number;
}

/** Options of idempotent calls. */
export interface IdempotentCallsOptions {
    readonly emit: (effect: OrdersEffect) => void;
    readonly random: RandomSource;
}

/** Begins the internal key of an idempotent call; no caller's key holds a colon. */
const KEY_PREFIX = "idempotent:";
const MOST_ATTEMPTS = 3;
const RETRY_BASE_MILLISECONDS = 50;
const REPORT_MARGIN_MILLISECONDS = 1_000;
const COME_BACK_MILLISECONDS = 1_000;

/** Retries that successes have earned for one service, so that retries stay a small share of its calls. */
const EARNED_PER_SUCCESS = 0.1;
const MOST_EARNED = 10;

/** Creates an empty set of idempotent calls. */
export function createIdempotentCalls(options: IdempotentCallsOptions): IdempotentCalls {
    const { emit, random } = options;
    const calls = new Map<string, IdempotentCall>();
    const budgets = new Map<string, number>();

    function begin(identifier: string, order: Order, call: FoundCall, nowMilliseconds: number): void {
        const key = `${KEY_PREFIX}${identifier}`;
        const entry: IdempotentCall = {
            identifier,
            order: { ...order, key },
            call,
            urls: shuffle(call.urls, random),
            retryUntilMilliseconds: nowMilliseconds + call.timeoutMilliseconds,
            attempts: 0,
            mayHaveRun: false,
            deadlineMilliseconds: nowMilliseconds,
            retryAtMilliseconds: undefined,
        };
        calls.set(key, entry);
        send(entry, nowMilliseconds);
    }

    function send(entry: IdempotentCall, nowMilliseconds: number): void {
        const url = entry.urls[entry.attempts % entry.urls.length] ?? "";
        const { timeoutMilliseconds } = entry.call;
        entry.attempts += 1;
        entry.retryAtMilliseconds = undefined;
        entry.deadlineMilliseconds = nowMilliseconds + timeoutMilliseconds + REPORT_MARGIN_MILLISECONDS;
        emit({ type: "dispatch", order: entry.order, url, timeoutMilliseconds });
    }

    function finish(entry: IdempotentCall, outcome: OrderOutcome): void {
        calls.delete(entry.order.key);
        emit({ type: "reply", identifier: entry.identifier, outcome });
    }

    function answered(key: string, result: OrderResult): void {
        const entry = calls.get(key);
        if (entry === undefined) {
            return;
        }
        const { service } = entry.order;
        budgets.set(service, Math.min(MOST_EARNED, (budgets.get(service) ?? MOST_EARNED) + EARNED_PER_SUCCESS));
        finish(entry, { type: "answered", result });
    }

    function mayRetry(entry: IdempotentCall, nowMilliseconds: number): boolean {
        const budget = budgets.get(entry.order.service) ?? MOST_EARNED;
        return entry.attempts < MOST_ATTEMPTS && nowMilliseconds < entry.retryUntilMilliseconds && budget >= 1;
    }

    function failed(key: string, { notSent, message }: DispatchFailure, nowMilliseconds: number): void {
        const entry = calls.get(key);
        if (entry === undefined || entry.retryAtMilliseconds !== undefined) {
            return;
        }
        entry.mayHaveRun ||= !notSent;
        if (!mayRetry(entry, nowMilliseconds)) {
            const ran = entry.mayHaveRun ? "may-have-run" : "not-run";
            const retryAfterMilliseconds = COME_BACK_MILLISECONDS;
            finish(entry, refuse("upstream-failed", ran, { message, retryAfterMilliseconds }));
            return;
        }
        const { service } = entry.order;
        const backoff = RETRY_BASE_MILLISECONDS * 2 ** entry.attempts * random();
        budgets.set(service, (budgets.get(service) ?? MOST_EARNED) - 1);
        entry.retryAtMilliseconds = nowMilliseconds + backoff;
        emit({ type: "count-retry", reason: "idempotent-call-failed", service });
    }

    function tickCall(entry: IdempotentCall, nowMilliseconds: number): void {
        if (entry.retryAtMilliseconds !== undefined) {
            if (nowMilliseconds >= entry.retryAtMilliseconds) {
                send(entry, nowMilliseconds);
            }
            return;
        }
        if (nowMilliseconds >= entry.deadlineMilliseconds) {
            failed(entry.order.key, { notSent: false, message: "the plain service did not answer" }, nowMilliseconds);
        }
    }

    return {
        begin,
        answered,
        failed,
        abandon: identifier => void calls.delete(`${KEY_PREFIX}${identifier}`),
        has: key => calls.has(key),
        tick: nowMilliseconds => calls.forEach(entry => tickCall(entry, nowMilliseconds)),
        get size() {
            return calls.size;
        },
    };
}
