/**
 * Detects that this host reaches no upstream although others do, so that callers are sent to those.
 *
 * @example
 * ```ts
 * import { PartitionDetector, UpstreamContact } from "./index.js";
 * ```
 *
 * @module
 */
export { chooseProbeTargets } from "./chooseProbeTargets.js";
export { PartitionDetector, type PartitionEvidence } from "./partitionDetector.js";
export { UpstreamContact } from "./upstreamContact.js";
