/**
 * Shared parts of clients: addresses, classification of failed calls, size-limited reading of bodies, and replaceable
 * agents; and the stop of servers.
 *
 * Retries are left to the clients.
 *
 * @example
 * ```ts
 * import { createReplaceableAgent, failedBeforeSending } from "./index.js";
 * ```
 *
 * @module
 */
export { afterPolling } from "./afterPolling.js";
export { describeError, failedBeforeSending, isTimeoutError } from "./failures.js";
export { type HostAndPort, parseAddress } from "./parseAddress.js";
export { type ReadHandle, readHandleOf } from "./readHandle.js";
export { readLimited } from "./readLimited.js";
export { ReadTurns, readTurns } from "./readTurns.js";
export { createReplaceableAgent, type ReplaceableAgent } from "./replaceableAgent.js";
export { type BindObstacle, retryWhileInUse, type RetryWhileInUseOptions } from "./retryWhileInUse.js";
export { TrackedConnections } from "./trackedConnections.js";
