/**
 * Settings of an entry host.
 *
 * @module
 */

/** An IP address and port to listen on. */
export interface ListenAddress {
    readonly address: string;
    readonly port: number;
}

/** Settings of an entry host on a site whose machines have no persistent storage. */
export interface EntrySettings {
    readonly host: string;
    readonly zone: string;
    readonly callers: ListenAddress;
    readonly readiness: ListenAddress;
    readonly directory: ListenAddress;
    /** Serves the shared state to peers. */
    readonly state: ListenAddress;
    /** Receives datagrams from peers. */
    readonly gossip: ListenAddress;
    /** Serves metrics as text; `undefined` to serve none. */
    readonly metrics: { readonly address: string; readonly port: number; readonly path: string; } | undefined;
    /** State addresses of some hosts, for starting while the key-value service is unavailable. */
    readonly seeds: readonly string[];
    /** Capacity of this host's link, each way; `undefined` where not known. */
    readonly linkBytesPerSecond?: number | undefined;
    /** Memory beyond which this host's process is killed; `undefined` where not known. */
    readonly memoryBytes?: number | undefined;
    readonly bounds: EntryBounds;
}

/** Limits set by the site's operators. */
export interface EntryBounds {
    /** Time between SIGTERM and SIGKILL. */
    readonly graceMilliseconds: number;
    readonly retryWindowMilliseconds: number;
    readonly retryRatio: number;
    readonly retryExtra: number;
    /** Minimum time between the orders of two successive holders to one engine. */
    readonly handoverMilliseconds: number;
    readonly storeLoadWindowMilliseconds: number;
    /** Factor by which loads within the window may exceed the weight store's rate. */
    readonly storeLoadOverage: number;
    /** Maximum time that callers cache an answer with addresses. */
    readonly maximumKeepSeconds: number;
    /** Time within which each change of the configuration is in force at all hosts in contact. */
    readonly configurationDeadlineMilliseconds?: number | undefined;
    /** Tokens a second by which an account may exceed its quota, over a window. */
    readonly quotaSlackTokensPerSecond?: number | undefined;
}
