/**
 * Token buckets that limit the rate of this pool's loads from the weight store, and of moves of existing copies.
 *
 * @module
 */
import { type StoreShare } from "./storeShare.js";

const MAXIMUM_SAVED_LOADS = 1;

/** A token bucket; it starts empty, since an earlier holder may just have used the rate. */
export interface TokenBucket {
    tokens: number;
    atMilliseconds: number;
}

/** Creates an empty token bucket. */
export function createTokenBucket(nowMilliseconds: number): TokenBucket {
    return { tokens: 0, atMilliseconds: nowMilliseconds };
}

/** Burst size: moves of existing copies that may follow each other without delay, for each engine. */
const MAXIMUM_SAVED_MOVES_PER_ENGINE = 1;
const MOVES_PER_SECOND_PER_ENGINE = 0.01;

/**
 * Adds the moves allowed since the last call; the limit prevents continuous moves in a pool that cannot hold all
 * models.
 */
export function refillMoves(bucket: TokenBucket, engines: number, nowMilliseconds: number): void {
    const seconds = Math.max(0, nowMilliseconds - bucket.atMilliseconds) / 1000;
    const gained = seconds * engines * MOVES_PER_SECOND_PER_ENGINE;
    bucket.tokens = Math.min(engines * MAXIMUM_SAVED_MOVES_PER_ENGINE, bucket.tokens + gained);
    bucket.atMilliseconds = nowMilliseconds;
}

/** Adds the loads that the pool's share allows since the last call. */
export function refillLoads(bucket: TokenBucket, share: StoreShare, nowMilliseconds: number): void {
    const seconds = Math.max(0, nowMilliseconds - bucket.atMilliseconds) / 1000;
    bucket.tokens = Math.min(MAXIMUM_SAVED_LOADS, bucket.tokens + seconds * share.loadsPerSecond);
    bucket.atMilliseconds = nowMilliseconds;
}
