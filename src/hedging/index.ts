/**
 * Which upstreams answer, for requests whose answer has stalled.
 *
 * @example
 * ```ts
 * import { UpstreamLiveness } from "./index.js";
 *
 * const liveness = new UpstreamLiveness();
 * liveness.recordHeard("engine-3", now);
 * ```
 *
 * @module
 */
export { UpstreamLiveness } from "./upstreamLiveness.js";
