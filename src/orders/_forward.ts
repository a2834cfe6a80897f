/**
 * State and outcomes of one order that is forwarded to another process.
 *
 * @module
 */
import { refuse } from "./_outcomes.js";
import { type Order } from "./messages.js";
import { type ProcessName } from "./orderKey.js";

/** Phase of a forwarded order. */
export type Phase =
    /** The owner is not known here yet: it, or this host, may have just started. */
    | { readonly type: "waiting"; readonly deadlineMilliseconds: number; }
    | { readonly type: "forwarding"; readonly deadlineMilliseconds: number; }
    /** The witness is requested to close the key; after the answer `dispatched`, it is polled for the outcome. */
    | {
        readonly type: "sealing";
        deadlineMilliseconds: number;
        nextRequestAtMilliseconds: number;
        dispatched: boolean;
    }
    /** No witness has the outcome; only the owner can still report it, on the open connection. */
    | { readonly type: "listening"; readonly deadlineMilliseconds: number; readonly message: string; };

/** Destination and time limit of a forwarded order. */
export interface ForwardPlan {
    readonly owner: ProcessName;
    readonly witness: ProcessName | undefined;
    /** Time limit of the call itself. */
    readonly callTimeoutMilliseconds: number;
}

/** An order that waits for another process. */
export interface Forward extends ForwardPlan {
    readonly order: Order;
    /** Number of forwards sent. */
    attempts: number;
    /** Until when the owner may answer the last forward; missing once that connection has ended. */
    connectionDeadlineMilliseconds: number | undefined;
    phase: Phase;
}

/** Answer of a process to a forwarded order whose key names another process as the owner. */
export const WRONG_OWNER_REFUSAL = refuse("owner-unreachable", "may-have-run", {
    message: "this process is not the one that the key names",
});

/** Outcome of an order whose key the witness has closed, so that it will never run. */
export const SEALED_REFUSAL = refuse("owner-unreachable", "not-run", {
    message: "the process that the ticket names gave no answer; the order is sealed and will never run: "
        + "take a new address and repeat it with a new key under its ticket",
    retryAfterMilliseconds: 0,
});

/** Messages of outcomes that leave open whether the order ran. */
export const UNKNOWN_OUTCOME_MESSAGES = {
    noWitness: "the process that holds the key gave no answer, and no other knows whether the order ran",
    witnessLost: "neither the process that the ticket names nor its witness can tell whether the order ran",
    dispatched: "the order was passed on, and the process that passed it on gave no answer",
} as const;
