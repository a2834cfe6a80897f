/**
 * Clients of the platform: the key-value service and the list of hosts.
 *
 * Use them for state that must outlive a process or on which hosts must agree. The error of a failed call shows whether
 * the call may have taken effect.
 *
 * @example
 * ```ts
 * import { createKeyValueClient } from "./index.js";
 *
 * const keyValue = createKeyValueClient({ urls: ["http://127.0.0.1:2379"] });
 * ```
 *
 * @module
 */
export { entryAfterSwap } from "./entryAfterSwap.js";
export { createHostListClient, type HostListClientOptions } from "./hostListClient.js";
export { createKeyValueClient, type KeyValueClientOptions } from "./keyValueClient.js";
export { parseJson } from "./parseJson.js";
export {
    type ChangeReader,
    type HostList,
    type HostListing,
    type KeyValueChanges,
    type KeyValueEntry,
    type KeyValueService,
    type KeyValueSnapshot,
    type PlatformError,
    type SnapshotOptions,
    type SwapOptions,
    type SwapOutcome,
    type WatchEvent,
    type WatchOptions,
} from "./types.js";
