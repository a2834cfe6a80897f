/**
 * Idempotent calls of plain services: sent without an order key, and retried within a budget.
 *
 * @module
 */
import { type RandomSource } from "../decision/index.js";
import { type OrderOutcome, type OrderResult } from "../generated/peers.js";
import { type CallTarget } from "./_calls.js";
import { type DispatchFailure, shuffle } from "./_dispatcher.js";
import { refuse } from "./_outcomes.js";
import { type Order, type OrdersEffect } from "./messages.js";

interface IdempotentCall {
    readonly identifier: string;
    readonly order: Order;
    readonly call: CallTarget;
    readonly urls: readonly string[];
    /** Time from which no further attempt starts. */
    readonly retryUntilMilliseconds: number;
    attempts: number;
    /** True once an attempt may have reached the service. */
    mayHaveRun: boolean;
    deadlineMilliseconds: number;
    /** Start of the next attempt; missing while an attempt is in progress. */
    retryAtMilliseconds: number | undefined;
}

/** Idempotent calls in progress. */
export interface IdempotentCalls {
    begin(identifier: string, order: Order, call: CallTarget, nowMilliseconds: number): void;
    handleResult(key: string, result: OrderResult): void;
    handleFailure(key: string, failure: DispatchFailure, nowMilliseconds: number): void;
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

/** Prefix of the internal key of an idempotent call; the key of an order contains no colon. */
const KEY_PREFIX = "idempotent:";
const MAXIMUM_ATTEMPTS = 3;
const RETRY_BASE_MILLISECONDS = 50;
const REPORT_MARGIN_MILLISECONDS = 1_000;
const RETRY_AFTER_MILLISECONDS = 1_000;

/** Retries that each successful call adds to its service's budget, so that retries stay a small share of its calls. */
const RETRY_TOKENS_PER_SUCCESS = 0.1;
const MAXIMUM_RETRY_TOKENS = 10;

/** Creates an empty set of idempotent calls. */
export function createIdempotentCalls(options: IdempotentCallsOptions): IdempotentCalls {
    const { emit, random } = options;
    const calls = new Map<string, IdempotentCall>();
    const retryTokens = new Map<string, number>();

    function begin(identifier: string, order: Order, call: CallTarget, nowMilliseconds: number): void {
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

    function handleResult(key: string, result: OrderResult): void {
        const entry = calls.get(key);
        if (entry === undefined) {
            return;
        }
        const { service } = entry.order;
        retryTokens.set(
            service,
            Math.min(
                MAXIMUM_RETRY_TOKENS,
                (retryTokens.get(service) ?? MAXIMUM_RETRY_TOKENS) + RETRY_TOKENS_PER_SUCCESS,
            ),
        );
        finish(entry, { type: "answered", result });
    }

    function mayRetry(entry: IdempotentCall, nowMilliseconds: number): boolean {
        const tokens = retryTokens.get(entry.order.service) ?? MAXIMUM_RETRY_TOKENS;
        return entry.attempts < MAXIMUM_ATTEMPTS && nowMilliseconds < entry.retryUntilMilliseconds && tokens >= 1;
    }

    function handleFailure(key: string, { notSent, message }: DispatchFailure, nowMilliseconds: number): void {
        const entry = calls.get(key);
        if (entry === undefined || entry.retryAtMilliseconds !== undefined) {
            return;
        }
        entry.mayHaveRun ||= !notSent;
        if (!mayRetry(entry, nowMilliseconds)) {
            const ran = entry.mayHaveRun ? "may-have-run" : "not-run";
            const retryAfterMilliseconds = RETRY_AFTER_MILLISECONDS;
            finish(entry, refuse("upstream-failed", ran, { message, retryAfterMilliseconds }));
            return;
        }
        const { service } = entry.order;
        const backoffMilliseconds = RETRY_BASE_MILLISECONDS * 2 ** entry.attempts * random();
        retryTokens.set(service, (retryTokens.get(service) ?? MAXIMUM_RETRY_TOKENS) - 1);
        entry.retryAtMilliseconds = nowMilliseconds + backoffMilliseconds;
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
            handleFailure(
                entry.order.key,
                { notSent: false, message: "the plain service did not answer" },
                nowMilliseconds,
            );
        }
    }

    return {
        begin,
        handleResult,
        handleFailure,
        abandon: identifier => void calls.delete(`${KEY_PREFIX}${identifier}`),
        has: key => calls.has(key),
        tick: nowMilliseconds => calls.forEach(entry => tickCall(entry, nowMilliseconds)),
        get size() {
            return calls.size;
        },
    };
}
