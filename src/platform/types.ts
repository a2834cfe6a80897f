/**
 * What this project uses of the platform: the key-value service and the list of hosts.
 *
 * @module
 */
import { type Result } from "ts-results-es";

/** Why a call on the platform has no answer. */
export interface PlatformError {
    /**
     * `not-sent`: no byte reached the service, so nothing took effect. `no-answer`: a write may have taken effect.
     * `refused`: the service says that it did nothing, for load or an outage. `rejected`: the service answered with an
     * error. `invalid`: its answer does not fit its schema.
     */
    readonly kind: "not-sent" | "no-answer" | "refused" | "rejected" | "invalid";
    readonly message: string;
}

/** One key of the key-value service. */
export interface KeyValueEntry {
    readonly key: string;
    readonly value: string;
    /**
     * Rises with each write of this key, also after the service came back from an older copy; 0 stands for a key that
     * does not exist.
     */
    readonly revision: number;
    /** The lease whose end deletes this key, where it has one. */
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
    /** Nothing up to this revision is left to report. */
    | { readonly type: "progress"; readonly revision: number; }
    /**
     * The watch ended; changes since its last event are unknown. The watch does not restart by itself. `historyLost`
     * where the service no longer has the changes that the watch began from.
     */
    | { readonly type: "ended"; readonly message: string; readonly historyLost?: boolean; };

/** All keys under a prefix. */
export interface KeyValueSnapshot {
    readonly entries: readonly KeyValueEntry[];
    /** A watch from the revision after this one misses no change. */
    readonly revision: number;
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
    /** Reports changes from this revision on too, as far as the service still has them. Default: new changes only. */
    readonly fromRevision?: number;
    /** Called once the service has begun the watch; a read after it misses nothing. */
    readonly onStarted?: () => void;
    /** Changes within this time may share one answer. Default: a time of the client's choice. */
    readonly gatherMilliseconds?: () => number;
}

/** The platform's key-value service. */
export interface KeyValueService {
    get(key: string): Promise<Result<KeyValueEntry | undefined, PlatformError>>;
    list(prefix: string): Promise<Result<readonly KeyValueEntry[], PlatformError>>;
    /** Lists a prefix with the revision that a watch of it goes on from. */
    snapshot(prefix: string): Promise<Result<KeyValueSnapshot, PlatformError>>;
    compareAndSwap(key: string, options: SwapOptions): Promise<Result<SwapOutcome, PlatformError>>;
    grantLease(timeToLiveMilliseconds: number): Promise<Result<{ readonly lease: string; }, PlatformError>>;
    /** Gives the remaining time; an ended lease is `rejected`. */
    renewLease(lease: string): Promise<Result<{ readonly timeToLiveMilliseconds: number; }, PlatformError>>;
    revokeLease(lease: string): Promise<Result<void, PlatformError>>;
    /** Reports changes under a prefix until closed or ended. */
    watch(prefix: string, onEvent: (event: WatchEvent) => void, options?: WatchOptions): { close(): Promise<void>; };
    /**
     * How often the service has come back from an older copy, as it told last; `undefined` before it has told. Missing on
     * a service that never does.
     */
    readonly restores?: () => number | undefined;
    /**
     * Names who is told that the service came back from an older copy, before anything that it says after. What was
     * written and granted since that copy is gone. Missing on a service that never does.
     */
    readonly onRestored?: (listener: (restores: number) => void) => void;
    close(): Promise<void>;
}

/** The platform's list of hosts, which lags. */
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
