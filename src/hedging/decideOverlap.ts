/**
 * Decides which of two attempts at one request goes on, once both have run for as long as they may.
 *
 * @module
 */

/** How long two upstreams may hold one request that only one of them should work on. */
export const EXCLUSIVE_OVERLAP_MILLISECONDS = 250;

/** What is known of a hedge when its overlap with the earlier attempt ends. */
export interface Overlap {
    /** True where two upstreams may not work on the request for long, since both would generate its tokens. */
    readonly isExclusive: boolean;
    /** True where the hedge's upstream is known to answer, this request or others. */
    readonly isHedgeAnswering: boolean;
}

/** Which attempt is cancelled. */
export type OverlapDecision = "cancel-none" | "cancel-hedge" | "cancel-stalled";

/**
 * Decides which attempt is cancelled. An attempt is given up only in favour of an upstream that is known to answer; one
 * that says nothing to anyone may have paused too.
 *
 * @param overlap What is known of the two attempts.
 *
 * @example
 * ```ts
 * decideOverlap({ isExclusive: true, isHedgeAnswering: false }); // "cancel-hedge"
 * ```
 */
export function decideOverlap({ isExclusive, isHedgeAnswering }: Overlap): OverlapDecision {
    if (!isExclusive) {
        return "cancel-none";
    }
    return isHedgeAnswering ? "cancel-stalled" : "cancel-hedge";
}
