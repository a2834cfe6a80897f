/**
 * Decides which of two attempts at one request goes on, once both have run for as long as they may.
 *
 * @module
 */

/** How long two upstreams may hold one request that only one of them should work on. */
export const EXCLUSIVE_OVERLAP_MILLISECONDS = 250;

/** What is known when the overlap of a stalled attempt and its hedge ends. */
export interface Overlap {
    /** True where a byte of the stalled answer came since the hedge was sent. */
    readonly hasStallEnded: boolean;
    /** True where the hedge's upstream answered something since then, and its other requests do not stand still. */
    readonly isHedgeAnswering: boolean;
}

/** Which attempt is cancelled. */
export type OverlapDecision = "cancel-hedge" | "cancel-stalled";

/**
 * Decides which attempt is cancelled. An attempt is given up only in favour of an upstream that answered after it got
 * the request; one that says nothing to anyone may have paused too.
 *
 * @param overlap What is known of the two attempts.
 *
 * @example
 * ```ts
 * decideOverlap({ hasStallEnded: false, isHedgeAnswering: false }); // "cancel-hedge"
 * ```
 */
export function decideOverlap({ hasStallEnded, isHedgeAnswering }: Overlap): OverlapDecision {
    return isHedgeAnswering && !hasStallEnded ? "cancel-stalled" : "cancel-hedge";
}
