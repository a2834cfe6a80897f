/**
 * What all clients share: what a failed call proves, bounded reading, and connections that can be replaced.
 *
 * Use it in clients over HTTP. It decides nothing about sending a call again.
 *
 * @example
 * ```ts
 * import { createRenewableAgent, failedBeforeSending } from "./index.js";
 * ```
 *
 * @module
 */
export { describeError, failedBeforeSending, ranOutOfTime } from "./failures.js";
export { readLimited } from "./readLimited.js";
export { createRenewableAgent, type RenewableAgent } from "./renewableAgent.js";
