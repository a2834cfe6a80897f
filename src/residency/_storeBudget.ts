/**
 * Keeps this pool's loads within its share of the weight store's rate.
 *
 * @module
 */
import { type StoreShare } from "./storeShare.js";

const MOST_SAVED_LOADS = 1;

/** A token bucket; it starts empty, for an earlier holder may just have used the share. */
export interface StoreBudget {
    tokens: number;
    atMilliseconds: number;
}

/** Creates an empty budget. */
export function createStoreBudget(nowMilliseconds: number): StoreBudget {
    return { tokens: 0, atMilliseconds: nowMilliseconds };
}

/** Adds what the share's rate has brought since the last call. */
export function refillBudget(budget: StoreBudget, share: StoreShare, nowMilliseconds: number): void {
    const seconds = Math.max(0, nowMilliseconds - budget.atMilliseconds) / 1000;
    budget.tokens = Math.min(MOST_SAVED_LOADS, budget.tokens + seconds * share.loadsPerSecond);
    budget.atMilliseconds = nowMilliseconds;
}
