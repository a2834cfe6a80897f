/**
 * What decisions on waiting requests depend on, and what they are.
 *
 * @module
 */

/** Properties of a request that its place among the waiting ones depends on. */
export interface QueueFacts {
    readonly service: string;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** `undefined` where the request names no client account. */
    readonly account: string | undefined;
    readonly arrivedAtMilliseconds: number;
    readonly targetLatencyMilliseconds: number;
}

/** How the wait of a request ended. */
export type WaitOutcome =
    | "sent"
    /** Its time to wait has passed, or its caller has left. */
    | "left"
    | "refused-early";

/** How long a request is expected to wait, and how far that is known. */
export interface WaitEstimate {
    /** Requests in front of it that can go to the same upstreams. */
    readonly inFront: number;
    /** Waiting requests that this host could send a second lately. */
    readonly perSecond: number;
    /** Relative standard error of the rate. */
    readonly doubt: number;
    readonly expectedMilliseconds: number;
    /** Shorter waits are improbable; 0 where too little is known. */
    readonly surelyMilliseconds: number;
}

/** Why a request is refused although it could wait longer. */
export type EarlyRefusal =
    /** Its expected wait surely exceeds what it may wait. */
    | "expected-wait"
    /** Hardly any request gets its first event within the time that it has left. */
    | "too-little-time";
