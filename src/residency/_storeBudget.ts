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

/** Moves of standing copies that may follow each other without a pause, for each engine. */
const MOVES_SAVED_PER_ENGINE = 1;
const MOVES_PER_SECOND_PER_ENGINE = 0.01;

/** Adds the moves that a pool of this size may make, so that a pool with no solution is not moved about for ever. */
export function refillMoves(budget: StoreBudget, engines: number, nowMilliseconds: number): void {
    const seconds = Math.max(0, nowMilliseconds - budget.atMilliseconds) / 1000;
    const gained = seconds * engines * MOVES_PER_SECOND_PER_ENGINE;
    budget.tokens = Math.min(engines * MOVES_SAVED_PER_ENGINE, budget.tokens + gained);
    budget.atMilliseconds = nowMilliseconds;
}

/** Adds what the share's rate has brought since the last call. */
export function refillBudget(budget: StoreBudget, share: StoreShare, nowMilliseconds: number): void {
    const seconds = Math.max(0, nowMilliseconds - budget.atMilliseconds) / 1000;
    budget.tokens = Math.min(MOST_SAVED_LOADS, budget.tokens + seconds * share.loadsPerSecond);
    budget.atMilliseconds = nowMilliseconds;
}
