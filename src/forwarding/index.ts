/**
 * Decisions on requests that are forwarded byte for byte: the choice of upstream, retries and their limits.
 *
 * None of them opens a socket or reads a clock.
 *
 * @example
 * ```ts
 * import { chooseUpstream, decideAfterAttempt } from "./index.js";
 * ```
 *
 * @module
 */
export { AdapterUse } from "./adapterUse.js";
export { AdapterUsers } from "./adapterUsers.js";
export { type Candidate, type Choice, chooseUpstream } from "./chooseUpstream.js";
export { type CompleteEvents, EventSplitter } from "./eventSplitter.js";
export { type ObservedPart, PrefillBacklog } from "./prefillBacklog.js";
export { type ObservedGap, PrefillBacklogLimit } from "./prefillBacklogLimit.js";
export { type FirstTokenObservation, PrefillThroughput } from "./prefillThroughput.js";
export { PromptPrefixIndex, sharedParts } from "./promptPrefixIndex.js";
export {
    decideAfterAttempt,
    decideWithoutRetry,
    type FailedAttempt,
    mayRunAgain,
    type RepeatDecision,
} from "./repeatDecision.js";
export { type RetryLimit, SharedRetryBudget } from "./sharedRetryBudget.js";
export { StreamPace, type StreamPart } from "./streamPace.js";
export { type AttemptFailure, provesNotRun, provesNotSent, type RequestedModel } from "./types.js";
export { UnreachableReports } from "./unreachableReports.js";
export { UpstreamHealth } from "./upstreamHealth.js";
export { type ReportedLoad, UpstreamLoads } from "./upstreamLoads.js";
export { parseRetryAfter, type RequestedPause, UpstreamPauses } from "./upstreamPauses.js";
export { maximumWaitMilliseconds, retryDelayMilliseconds } from "./waitLimits.js";
