/**
 * Entry hosts on a site whose machines have no persistent storage: forward requests byte for byte, manage engines, and
 * answer readiness, directory and metrics requests.
 *
 * @example
 * ```ts
 * import { startEntryHost } from "./index.js";
 *
 * const host = await startEntryHost({ settings, protocol, keyValue, control, logger, metrics, random, readClocks });
 * ```
 *
 * @module
 */
export { DemandMeter } from "./demandMeter.js";
export { type EntryHost, startEntryHost } from "./entryHost.js";
export { type EntryHostOptions } from "./hostContext.js";
export { type EntryBounds, type EntrySettings, type ListenAddress } from "./settings.js";
export {
    type AddressQuery,
    type AuxiliaryAnswer,
    type AuxiliaryCalls,
    type DecodeError,
    type EngineControl,
    type EngineTarget,
    type HeaderNames,
    type OrderFencing,
    type SiteKeys,
    type SiteProtocol,
} from "./siteProtocol.js";
export { createUpstreamAgent } from "./upstreamAgent.js";
