/**
 * Outcomes of attempts to forward a request to an upstream, and the model that a request names.
 *
 * @module
 */

/** Why an attempt on an upstream gave no answer to forward to the caller. */
export type AttemptFailure =
    /** No connection was established, so no byte was sent. */
    | "not-connected"
    /** The upstream, the permit to use it or the connection had gone when the request could leave; no byte was sent. */
    | "withdrawn"
    /** The upstream reported that it did not execute the request. */
    | "not-run"
    /** The address belongs to another incarnation or another process. */
    | "misdirected"
    /** The engine has not loaded the model or adapter. */
    | "not-resident"
    /** The connection ended before the answer was complete. */
    | "connection-lost"
    /** No byte was received for longer than the caller would wait. */
    | "silent"
    /** The received bytes are not a valid answer to this request. */
    | "invalid-answer"
    /** A complete answer in which the upstream reports an internal failure. */
    | "upstream-error"
    /** The request's deadline passed at the upstream. */
    | "timed-out";

const PROVED_NOT_RUN: ReadonlySet<AttemptFailure> = new Set([
    "not-connected",
    "withdrawn",
    "not-run",
    "misdirected",
    "not-resident",
]);

const NOT_SENT: ReadonlySet<AttemptFailure> = new Set(["not-connected", "withdrawn"]);

/** Returns whether no byte of a failed attempt left this host. */
export function provesNotSent(failure: AttemptFailure): boolean {
    return NOT_SENT.has(failure);
}

/** Returns whether a failed attempt proves that the upstream did not execute the request and never will. */
export function provesNotRun(failure: AttemptFailure): boolean {
    return PROVED_NOT_RUN.has(failure);
}

/** The model that a request names. */
export interface RequestedModel {
    readonly model: string;
    readonly adapter: string | undefined;
}
