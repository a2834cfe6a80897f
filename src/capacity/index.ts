/**
 * How fast upstreams work now, and how much memory their requests hold.
 *
 * None of these opens a socket or reads a clock.
 *
 * @example
 * ```ts
 * import { EngineSpeeds } from "./index.js";
 * ```
 *
 * @module
 */
export { EngineMemoryUse, type EngineRequests, type SentTokens } from "./engineMemoryUse.js";
export { EngineSpeeds, type ObservedPace, type SpeedDescription, type SpeedReport } from "./engineSpeeds.js";
export { FirstEventForecast, type FirstEventTimes } from "./firstEventForecast.js";
export { HostRanks } from "./hostRanks.js";
export { PromptSizes } from "./promptSizes.js";
