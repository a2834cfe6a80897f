/**
 * Which waiting requests go first, how long they are expected to wait, and which are refused at once. Decisions take the
 * time as an argument and open no socket.
 *
 * @example
 * ```ts
 * import { Admission } from "./index.js";
 *
 * const admission = new Admission({ isInForce: () => true });
 * ```
 *
 * @module
 */
export {
    Admission,
    type AdmissionOptions,
    type QueuedRequest,
    type RankedRequest,
    type RefusalInput,
} from "./admission.js";
export { DispatchRates } from "./dispatchRates.js";
export { FirstEventTimes } from "./firstEventTimes.js";
export { compareQueueRanks, type QueueRank, queueRank, type QueueRankInput } from "./queueRank.js";
export { retryDelay, type RetryDelayInput } from "./retryDelay.js";
export { ServedShares } from "./servedShares.js";
export { type EarlyRefusal, type QueueFacts, type WaitEstimate, type WaitOutcome } from "./types.js";
