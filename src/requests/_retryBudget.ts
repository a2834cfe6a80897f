/**
 * Limits a host's retries, and spaces them by backoff.
 *
 * @module
 */
import { type RandomSource } from "../decision/index.js";

const RETRIES_PER_REQUEST = 0.08;
const MAXIMUM_SAVED_RETRIES = 8;
const REFILL_MILLISECONDS_PER_RETRY = 30_000;
const INITIAL_BACKOFF_MILLISECONDS = 50;
const MAXIMUM_BACKOFF_MILLISECONDS = 2_000;

/** Retry budget of each model on this host. */
export interface RetryBudget {
    /** Credits one request's share of a retry. Budgets also refill slowly with time, for models with few requests. */
    recordRequest(model: string, nowMilliseconds: number): void;
    /** Returns whether a retry is available. */
    hasRetry(model: string, nowMilliseconds: number): boolean;
    /** Consumes one retry; false, without a change, where none is available. */
    tryConsume(model: string, nowMilliseconds: number): boolean;
}

/**
 * Creates a budget that starts full, so that a host with few requests can retry after a crash.
 *
 * @returns The budget.
 */
export function createRetryBudget(): RetryBudget {
    const accounts = new Map<string, RetryAccount>();
    const refill = (model: string, nowMilliseconds: number): RetryAccount => {
        const account = accounts.get(model)
            ?? { balance: MAXIMUM_SAVED_RETRIES, refilledAtMilliseconds: nowMilliseconds };
        accounts.set(model, account);
        deposit(account, (nowMilliseconds - account.refilledAtMilliseconds) / REFILL_MILLISECONDS_PER_RETRY);
        account.refilledAtMilliseconds = nowMilliseconds;
        return account;
    };
    return {
        recordRequest: (model, nowMilliseconds) => deposit(refill(model, nowMilliseconds), RETRIES_PER_REQUEST),
        hasRetry: (model, nowMilliseconds) => refill(model, nowMilliseconds).balance >= 1,
        tryConsume: (model, nowMilliseconds) => {
            const account = refill(model, nowMilliseconds);
            if (account.balance < 1) {
                return false;
            }
            account.balance -= 1;
            return true;
        },
    };
}

interface RetryAccount {
    balance: number;
    refilledAtMilliseconds: number;
}

function deposit(account: RetryAccount, retries: number): void {
    account.balance = Math.min(MAXIMUM_SAVED_RETRIES, account.balance + retries);
}

/**
 * Draws the wait before a retry: exponential backoff with full jitter.
 *
 * @param attempt Attempts made so far; 1 after the first.
 * @param random Source of the jitter.
 * @returns The wait in milliseconds.
 */
export function drawBackoffMilliseconds(attempt: number, random: RandomSource): number {
    const maximumMilliseconds = Math.min(
        MAXIMUM_BACKOFF_MILLISECONDS,
        INITIAL_BACKOFF_MILLISECONDS * 2 ** (attempt - 1),
    );
    return Math.ceil(maximumMilliseconds * random());
}
