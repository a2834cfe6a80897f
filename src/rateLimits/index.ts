/**
 * Rate limits that upstreams name for all hosts together.
 *
 * None of these decisions opens a socket or reads a clock.
 *
 * @example
 * ```ts
 * import { NamedLimits, parseRateLimit } from "./index.js";
 * ```
 *
 * @module
 */
export { type PermitExpectation } from "./hostPermits.js";
export { type LimitChange, type LimitObservation, NamedLimits } from "./namedLimits.js";
export { type ParsedRateLimit, parseRateLimit } from "./parseRateLimit.js";
export { PermitWait, type PermitWaitOptions } from "./permitWait.js";
export {
    type Fleet,
    type LimitDescription,
    type PermitMessage,
    type PermitState,
    RateLimiter,
    type RateLimiterOptions,
} from "./rateLimiter.js";
export { RejectionBounds, type RejectionBoundsOptions, type UpstreamUse } from "./rejectionBounds.js";
export { SlotLeases, type SlotLeasesOptions, type SlotMessage } from "./slotLeases.js";
export { type WaitingRequest } from "./waitingGroups.js";
