/**
 * What forwarding knows of a request and of its attempts on upstreams.
 *
 * @module
 */

/** Why an attempt on an upstream gave no answer to pass on. */
export type AttemptFailure =
    /** No connection stood, so no byte was sent. */
    | "not-connected"
    /** The upstream says that it did not run the request. */
    | "not-run"
    /** Another run of a process has the address. */
    | "misdirected"
    /** The engine does not hold the model or adapter. */
    | "not-resident"
    /** The connection ended before the whole answer. */
    | "connection-lost"
    /** Nothing came for longer than the caller would wait. */
    | "silent"
    /** Bytes that are no answer to this request. */
    | "invalid-answer"
    /** A whole answer of the upstream that reports a failure of its own. */
    | "upstream-error"
    /** The request's time ran out at the upstream. */
    | "timed-out";

const PROVED_NOT_RUN: ReadonlySet<AttemptFailure> = new Set([
    "not-connected",
    "not-run",
    "misdirected",
    "not-resident",
]);

/** Tells whether a failed attempt proves that the upstream did not run the request and never will. */
export function provesNotRun(failure: AttemptFailure): boolean {
    return PROVED_NOT_RUN.has(failure);
}

/** The model that a request names. */
export interface WantedModel {
    readonly model: string;
    readonly adapter: string | undefined;
}
