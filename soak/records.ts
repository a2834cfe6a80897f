/**
 * What callers, engines and the supervisor of a soak saw. Times are milliseconds since its start.
 *
 * @module
 */

/** Kinds of requests by what may be repeated: orders and chats may run once, reads and digests more than once. */
export type RequestKind = "order" | "read" | "chat" | "digest";

/** How a request ended for its caller. */
export type RequestEnding =
    /** A whole answer came. */
    | "answered"
    /** The connection ended without a whole answer. */
    | "broken"
    /** The caller left. */
    | "left"
    /** No connection was made. */
    | "not-connected"
    /** Bytes came that are no answer of the protocol. */
    | "garbled";

/** A request as its caller saw it. */
export interface RequestRecord {
    readonly type: "request";
    readonly id: string;
    readonly kind: RequestKind;
    /** The account whose key it brings along. */
    readonly account: string;
    readonly host: string;
    readonly startedAt: number;
    /** When its last byte was handed to the connection; `undefined` where it was not. */
    readonly writtenAt: number | undefined;
    readonly endedAt: number;
    readonly deadlineMilliseconds: number;
    /** True for a caller that reads or writes slowly, or stops doing so. */
    readonly isSlow: boolean;
    readonly ending: RequestEnding;
    readonly status: number | undefined;
    /** Value of the header `Flamingospread-Response-Signature`. */
    readonly signature: string | undefined;
    /** Identifier of the request that the answer names. */
    readonly answeredId: string | undefined;
    readonly digest: string;
}

/** An execution of a request, as its engine saw it. */
export interface RunRecord {
    readonly type: "run";
    readonly id: string;
    readonly engine: string;
    /** The account that the request names. */
    readonly account: string | undefined;
    /** True where the request brought its caller's key along. */
    readonly hasKey: boolean;
    readonly at: number;
    readonly status: number;
    readonly signature: string;
    /** Digest of the whole body that the engine has for the request. */
    readonly digest: string;
    /** False where the engine breaks the answer off, or sends none. */
    readonly isSound: boolean;
}

/** A signal that the supervisor or the schedule sent. */
export interface SignalRecord {
    readonly type: "signal";
    readonly host: string;
    readonly pid: number;
    readonly signal: string;
    readonly at: number;
}

/** A process from its start to its end, or to the end of the soak. */
export interface LifeRecord {
    readonly type: "life";
    readonly host: string;
    readonly pid: number;
    readonly startedAt: number;
    readonly readyAt: number | undefined;
    readonly endedAt: number;
    /** `undefined` where it ran until the end of the soak. */
    readonly exit: { readonly code: number | null; readonly signal: string | null; } | undefined;
    readonly peakBytes: number;
}

/** A trouble from outside: the time from its start to the end of its effect. */
export interface TroubleRecord {
    readonly type: "trouble";
    readonly kind: string;
    /** Names of hosts and engines, or `store`. */
    readonly targets: readonly string[];
    readonly from: number;
    readonly until: number;
}

/** The store's confirmation that an engine leaves. */
export interface LeaveRecord {
    readonly type: "leave";
    readonly engine: string;
    readonly at: number;
}

/** Any record of a soak. */
export type SoakRecord = RequestRecord | RunRecord | SignalRecord | LifeRecord | TroubleRecord | LeaveRecord;

/** A promise that was broken. */
export interface Violation {
    readonly rule: "FAULT" | "TWICE" | "REFUSED" | "MIXED" | "UNASKED" | "DENIED" | "LOST" | "DRAIN" | "GONE";
    readonly at: number;
    readonly message: string;
}

/** Name of the store among the targets of troubles. */
export const STORE = "store";
