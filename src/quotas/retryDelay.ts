/**
 * When the callers of a refused request should come back.
 *
 * @module
 */
import { type RandomSource } from "../decision/index.js";

const MINIMUM_MILLISECONDS = 100;
const MAXIMUM_MILLISECONDS = 30_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** An account's quota when a request is refused. */
export interface RefusedRequest {
    readonly tokens: number;
    readonly levelTokens: number;
    readonly tokensPerSecond: number;
    readonly offeredPerSecond: number;
    readonly random: RandomSource;
}

/**
 * Returns the time until the quota has room for a request. Refused requests are spread over the time that the quota
 * needs for what one second of callers asks for, since they would otherwise come back at once.
 *
 * @example
 * ```ts
 * retryDelayMilliseconds({ tokens: 950, levelTokens: 0, tokensPerSecond: 1_900, offeredPerSecond: 3_800, random });
 * ```
 */
export function retryDelayMilliseconds(
    { levelTokens, offeredPerSecond, random, tokens, tokensPerSecond }: RefusedRequest,
): number {
    const missingTokens = Math.max(0, tokens - levelTokens);
    const spreadTokens = Math.max(0, offeredPerSecond - tokensPerSecond) * random();
    const seconds = (missingTokens + spreadTokens) / Math.max(1, tokensPerSecond);
    const milliseconds = Math.round(seconds * MILLISECONDS_PER_SECOND);
    return Math.min(MAXIMUM_MILLISECONDS, Math.max(MINIMUM_MILLISECONDS, milliseconds));
}
