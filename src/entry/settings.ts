/**
 * Settings of an entry host.
 *
 * @module
 */

/** An IP number and a port to listen on. */
export interface ListenAddress {
    readonly address: string;
    readonly port: number;
}

/** Settings of an entry host on a site whose machines keep nothing. */
export interface EntrySettings {
    readonly host: string;
    readonly zone: string;
    readonly callers: ListenAddress;
    readonly readiness: ListenAddress;
    readonly directory: ListenAddress;
    /** Where peers read the shared state. */
    readonly state: ListenAddress;
    /** Where peers send datagrams. */
    readonly gossip: ListenAddress;
    /** Where metrics are served as text. */
    readonly metrics: { readonly address: string; readonly port: number; readonly path: string; } | undefined;
    /** State addresses of some hosts, for a start while the key-value service is away. */
    readonly seeds: readonly string[];
    readonly bounds: EntryBounds;
}

/** Bounds that the operators of the site set. */
export interface EntryBounds {
    /** Time between SIGTERM and SIGKILL. */
    readonly graceMilliseconds: number;
    readonly retryWindowMilliseconds: number;
    readonly retryRatio: number;
    readonly retryExtra: number;
    /** Orders of two holders to one engine are at least this far apart. */
    readonly handoverMilliseconds: number;
    readonly storeLoadWindowMilliseconds: number;
    /** Loads in the window may exceed the weight store's rate by this factor. */
    readonly storeLoadOverage: number;
    /** Longest time that callers keep an answer with addresses, in seconds. */
    readonly longestKeepSeconds: number;
}
