/**
 * How many retries a host may make, and when.
 *
 * @module
 */
import { type RandomSource } from "../decision/index.js";

const RETRIES_PER_REQUEST = 0.08;
const MOST_SAVED_RETRIES = 8;
const QUIET_MILLISECONDS_PER_RETRY = 30_000;
const FIRST_BACKOFF_MILLISECONDS = 50;
const LONGEST_BACKOFF_MILLISECONDS = 2_000;

/** Retries that each model may still use on this host. */
export interface RetryBudget {
    /** Credits one request's share of a retry; a little comes with time as well, for models that are seldom asked. */
    recordRequest(model: string, nowMilliseconds: number): void;
    /** Tells whether a retry is left. */
    has(model: string, nowMilliseconds: number): boolean;
    /** Takes one retry; false, and nothing taken, where none is left. */
    tryTake(model: string, nowMilliseconds: number): boolean;
}

/**
 * Creates a budget that starts full, so that a crash on a quiet host can be answered.
 *
 * @returns The budget.
 */
export function createRetryBudget(): RetryBudget {
    const accounts = new Map<string, Account>();
    const refill = (model: string, nowMilliseconds: number): Account => {
        const account = accounts.get(model) ?? { balance: MOST_SAVED_RETRIES, atMilliseconds: nowMilliseconds };
        accounts.set(model, account);
        deposit(account, (nowMilliseconds - account.atMilliseconds) / QUIET_MILLISECONDS_PER_RETRY);
        account.atMilliseconds = nowMilliseconds;
        return account;
    };
    return {
        recordRequest: (model, nowMilliseconds) => deposit(refill(model, nowMilliseconds), RETRIES_PER_REQUEST),
        has: (model, nowMilliseconds) => refill(model, nowMilliseconds).balance >= 1,
        tryTake: (model, nowMilliseconds) => {
            const account = refill(model, nowMilliseconds);
            if (account.balance < 1) {
                return false;
            }
            account.balance -= 1;
            return true;
        },
    };
}

interface Account {
    balance: number;
    atMilliseconds: number;
}

function deposit(account: Account, retries: number): void {
    account.balance = Math.min(MOST_SAVED_RETRIES, account.balance + retries);
}

/**
 * Draws the wait before a retry: exponential, with full jitter.
 *
 * @param attempt Attempts made so far; 1 after the first.
 * @param random Source of the jitter.
 * @returns The wait in milliseconds.
 */
export function drawBackoffMilliseconds(attempt: number, random: RandomSource): number {
    const longest = Math.min(LONGEST_BACKOFF_MILLISECONDS, FIRST_BACKOFF_MILLISECONDS * 2 ** (attempt - 1));
    return Math.ceil(longest * random());
}
