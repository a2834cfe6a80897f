/**
 * One order that waits for another process.
 *
 * @module
 */
import { refuse } from "./_outcomes.js";
import { type Order } from "./messages.js";
import { type ProcessName } from "./orderKey.js";

/** What an order waits for. */
export type Phase =
    /** The owner is not known here yet; it may have just started, or this host has. */
    | { readonly type: "waiting"; readonly deadlineMilliseconds: number; }
    | { readonly type: "forwarding"; readonly deadlineMilliseconds: number; }
    /** The witness is asked to seal; where it says `dispatched`, it is asked again for the outcome. */
    | { readonly type: "sealing"; deadlineMilliseconds: number; askAtMilliseconds: number; dispatched: boolean; }
    /** No witness can tell; only the owner's answer on the open connection can. */
    | { readonly type: "listening"; readonly deadlineMilliseconds: number; readonly message: string; };

/** How one order is to be forwarded. */
export interface ForwardPlan {
    readonly owner: ProcessName;
    readonly witness: ProcessName | undefined;
    /** How long the call itself may take. */
    readonly callMilliseconds: number;
}

/** One order that waits for another process. */
export interface Forward extends ForwardPlan {
    readonly order: Order;
    /** Forwards sent. */
    forwards: number;
    /** Until when the owner may answer the last forward; missing where its connection has ended. */
    openUntilMilliseconds: number | undefined;
    phase: Phase;
}

/** What a process says of a key that names another process as its owner. */
export const WRONG_OWNER = refuse("owner-unreachable", "may-have-run", {
    message: "this process is not the one that the key names",
});

/** What is said once the witness has sealed the key. */
export const SEALED = refuse("owner-unreachable", "not-run", {
    message: "the process that the ticket names gave no answer; the order is sealed and will never run: "
        + "take a new address and repeat it with a new key under its ticket",
    retryAfterMilliseconds: 0,
});

/** Why it is not known whether an order ran. */
export const UNKNOWN_BECAUSE = {
    noWitness: "the process that holds the key gave no answer, and no other knows whether the order ran",
    witnessLost: "neither the process that the ticket names nor its witness can tell whether the order ran",
    dispatched: "the order was passed on, and the process that passed it on gave no answer",
} as const;
