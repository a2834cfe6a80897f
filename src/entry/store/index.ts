/**
 * The key-value service as one host sees it: a copy of its entries, this host's session, restores from snapshots, and
 * whether the service answers. What the service does not deliver is taken from peers.
 *
 * @example
 * ```ts
 * import { HostStore } from "./index.js";
 *
 * const store = new HostStore(options);
 * store.start();
 * console.log(store.configuration.version, store.revision);
 * await store.close();
 * ```
 *
 * @module
 */
export { type ConfigurationInForce } from "./configurationInForce.js";
export { STATE_PATH } from "./fetchState.js";
export { HOLDER_KEY_PREFIX } from "./fleetRecords.js";
export { HostStore, type HostStoreOptions } from "./hostStore.js";
export { type ServiceReachability } from "./serviceReachability.js";
export { type EntryHandler } from "./storedEntries.js";
export { type ChangeBatch, type ForwardedBatch } from "./storeMirror.js";
export { STATEMENT_LIFETIME_MILLISECONDS } from "./storeWatchPolicy.js";
