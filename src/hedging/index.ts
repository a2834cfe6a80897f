/**
 * Hedging of requests whose answer has stalled: when one is sent to a second upstream, and which of its attempts is
 * given up.
 *
 * @example
 * ```ts
 * import { decideOverlap, decideStall, UpstreamLiveness } from "./index.js";
 *
 * const liveness = new UpstreamLiveness();
 * liveness.recordProbeAnswered("engine-3", now);
 * const decision = decideStall({ quietMilliseconds, limitMilliseconds, isBusy, alternative });
 * ```
 *
 * @module
 */
export { decideOverlap, EXCLUSIVE_OVERLAP_MILLISECONDS, type Overlap, type OverlapDecision } from "./decideOverlap.js";
export {
    type Alternative,
    decideStall,
    type Stall,
    STALL_RECHECK_MILLISECONDS,
    type StallDecision,
} from "./decideStall.js";
export { type RequestActivity, UpstreamLiveness } from "./upstreamLiveness.js";
