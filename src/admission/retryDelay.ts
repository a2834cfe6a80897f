/**
 * When a refused caller should come back.
 *
 * @module
 */

/** Callers honour a delay up to a third of the time that they have left; the rest is for their clocks. */
const MAXIMUM_REMAINING_SHARE = 0.32;

const MINIMUM_DELAY_MILLISECONDS = 150;

/** Share of the delay after which the most urgent callers come back. */
const EARLIEST_SHARE = 0.5;

/** Share of the delay that priority and waited time move a caller back by. */
const PATIENCE_SHARE = 0.25;

/** Share of the delay over which callers that are equally urgent spread. */
const SPREAD_SHARE = 0.25;

/** What the delay of a refused caller depends on. */
export interface RetryDelayInput {
    /** Time until the request could be served. */
    readonly expectedMilliseconds: number;
    /** Remaining time of the caller. */
    readonly remainingMilliseconds: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Time that the request has waited, as a share of what it may wait. */
    readonly waitedShare: number;
    /** Random number of at least 0 and below 1. */
    readonly spread: number;
}

/**
 * Returns the delay after which a refused caller should come back: within the expected time until it could be served,
 * earlier for urgent requests and those that have waited, spread so that they do not come back at the same moment.
 *
 * @param input The request.
 *
 * @example
 * ```ts
 * const delay = retryDelay({ expectedMilliseconds: 900, remainingMilliseconds: 4_000, priority: 0, waitedShare: 0, spread });
 * ```
 */
export function retryDelay(
    { expectedMilliseconds, priority, remainingMilliseconds, spread, waitedShare }: RetryDelayInput,
): number {
    const longest = Math.max(0, remainingMilliseconds) * MAXIMUM_REMAINING_SHARE;
    const delay = Math.min(Math.max(MINIMUM_DELAY_MILLISECONDS, expectedMilliseconds), longest);
    const patience = priority / (1 + priority) * (1 - Math.min(1, Math.max(0, waitedShare)));
    return Math.round(delay * (EARLIEST_SHARE + PATIENCE_SHARE * patience + SPREAD_SHARE * spread));
}
