/**
 * Interfaces of the platform's services: the key-value service and the list of hosts.
 *
 * @module
 */
import { type Result } from "ts-results-es";

/** Error of a failed call to the platform. */
export interface PlatformError {
    /**
     * `not-sent`: no byte reached the service, so nothing took effect. `no-answer`: a write may have taken effect.
     * `refused`: the service reported that it did nothing, because of overload or an outage. `rejected`: the service
     * answered with an error. `invalid`: the answer does not fit its schema.
     */
    readonly kind: "not-sent" | "no-answer" | "refused" | "rejected" | "invalid";
    readonly message: string;
}

/** A key of the key-value service with its value. */
export interface KeyValueEntry {
    readonly key: string;
    readonly value: string;
    /**
     * Increases with each write of this key, also after the service was restored from an older copy; 0 stands for a key
     * that does not exist.
     */
    readonly revision: number;
    /** Lease to which the key is bound: the key is deleted when the lease ends. */
    readonly lease?: string;
}

/** Outcome of a compare-and-swap. */
export type SwapOutcome =
    | { readonly type: "written"; readonly revision: number; }
    | { readonly type: "conflict"; readonly current: KeyValueEntry | undefined; };

/** A change that a watch reports. */
export type WatchEvent =
    | { readonly type: "put"; readonly entry: KeyValueEntry; }
    | { readonly type: "delete"; readonly key: string; readonly revision: number; }
    /** All changes up to this revision have been reported. */
    | { readonly type: "progress"; readonly revision: number; }
    /**
     * The watch ended; changes since its last event are unknown. The watch does not restart by itself. `historyLost` is
     * true where the service no longer has the changes since the revision from which the watch would continue.
     */
    | { readonly type: "ended"; readonly message: string; readonly historyLost?: boolean; };

/** All keys under a prefix. */
export interface KeyValueSnapshot {
    readonly entries: readonly KeyValueEntry[];
    /** Revision of the listing; a watch that starts at the next revision misses no change. */
    readonly revision: number;
}

/** All changes after a revision, up to and including another, in their order. */
export interface KeyValueChanges {
    readonly changes: readonly Extract<WatchEvent, { readonly type: "put" | "delete"; }>[];
    readonly revision: number;
}

/** Reads which changes a client has not heard of. */
export interface ChangeReader {
    /**
     * Returns the changes under a prefix after a revision, as of now. Fails with `isHistoryLost` where the service no
     * longer has them.
     */
    changesAfter(
        prefix: string,
        revision: number,
    ): Promise<Result<KeyValueChanges, PlatformError & { readonly isHistoryLost?: boolean; }>>;
}

/** Options of a compare-and-swap. */
export interface SwapOptions {
    /** Revision that the key must have; 0 for a key that must not exist. */
    readonly expectedRevision: number;
    readonly value: string;
    /** Lease to bind the key to. */
    readonly lease?: string;
}

/** Options of a watch. */
export interface WatchOptions {
    /** First revision to report, if the service still has its changes. Default: only changes after the watch starts. */
    readonly fromRevision?: number;
    /** Called once the service has started the watch; the watch reports every change that a later read does not see. */
    readonly onStarted?: () => void;
    /** Returns the time within which changes may share one answer. Default: set by the client. */
    readonly batchMilliseconds?: () => number;
}

/** Options of a listing. */
export interface SnapshotOptions {
    /** Called with the revision of the listing's first page where there are further ones. */
    readonly onFirstPage?: (revision: number) => void;
}

/** The platform's key-value service. */
export interface KeyValueService {
    get(key: string): Promise<Result<KeyValueEntry | undefined, PlatformError>>;
    list(prefix: string): Promise<Result<readonly KeyValueEntry[], PlatformError>>;
    /** Lists the keys under a prefix, with the revision after which a watch of it must start. */
    snapshot(prefix: string, options?: SnapshotOptions): Promise<Result<KeyValueSnapshot, PlatformError>>;
    compareAndSwap(key: string, options: SwapOptions): Promise<Result<SwapOutcome, PlatformError>>;
    grantLease(timeToLiveMilliseconds: number): Promise<Result<{ readonly lease: string; }, PlatformError>>;
    /** Renews a lease and returns its remaining time; fails as `rejected` where the lease has ended. */
    renewLease(lease: string): Promise<Result<{ readonly timeToLiveMilliseconds: number; }, PlatformError>>;
    revokeLease(lease: string): Promise<Result<void, PlatformError>>;
    /** Reports changes under a prefix until closed or ended. */
    watch(prefix: string, onEvent: (event: WatchEvent) => void, options?: WatchOptions): { close(): Promise<void>; };
    /**
     * Returns how often the service has been restored from an older copy, by its latest answer that reported it;
     * `undefined` before the first such answer. Missing on a client of a service that is never restored.
     */
    readonly restoreCount?: () => number | undefined;
    /**
     * Adds a listener that is called after the service was restored from an older copy, before any answer of the
     * restored service is returned. The restore discards all writes and leases made since that copy. Missing on a
     * client of a service that is never restored.
     */
    readonly onRestored?: (listener: (restores: number) => void) => void;
    close(): Promise<void>;
}

/** The platform's list of hosts; it may be out of date. */
export interface HostListing {
    readonly live: readonly { readonly host: string; readonly peersUrl: string; }[];
    readonly leaving: readonly string[];
    /** Names of engines that are leaving. */
    readonly leavingEngines: readonly string[];
}

/** Reads the platform's list of hosts. */
export interface HostList {
    read(): Promise<Result<HostListing, PlatformError>>;
    close(): Promise<void>;
}
