/**
 * How many retries a host may make, and when.
 *
 * @module
 */
import { type RandomSource } from "../decision/index.js";

const RETRIES_PER_REQUEST = 0.08;
const MOST_SAVED_RETRIES = 8;
const FIRST_BACKOFF_MILLISECONDS = 50;
const LONGEST_BACKOFF_MILLISECONDS = 2_000;

/** Retries that each model may still use on this host. */
export interface RetryBudget {
    /** Credits one request's share of a retry. */
    recordRequest(model: string): void;
    /** Takes one retry; false, and nothing taken, where none is left. */
    tryTake(model: string): boolean;
    /** Takes one retry that has to be made, also into debt. */
    take(model: string): void;
}

/**
 * Creates a budget that starts full, so that a crash on a quiet host can be answered.
 *
 * @returns The budget.
 */
export function createRetryBudget(): RetryBudget {
    const balances = new Map<string, number>();
    const balanceOf = (model: string): number => balances.get(model) ?? MOST_SAVED_RETRIES;
    return {
        recordRequest: model => {
            balances.set(model, Math.min(MOST_SAVED_RETRIES, balanceOf(model) + RETRIES_PER_REQUEST));
        },
        tryTake: model => {
            if (balanceOf(model) < 1) {
                return false;
            }
            balances.set(model, balanceOf(model) - 1);
            return true;
        },
        take: model => {
            balances.set(model, balanceOf(model) - 1);
        },
    };
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
