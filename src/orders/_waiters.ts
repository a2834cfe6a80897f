/**
 * Who waits for the outcome of which key.
 *
 * @module
 */
import { type OrderOutcome } from "../generated/peers.js";
import { type OrdersEffect } from "./messages.js";

/** Waiting answers by key; each is given once, and none after it was abandoned. */
export interface Waiters {
    join(key: string, identifier: string): void;
    abandon(identifier: string): void;
    answer(key: string, outcome: OrderOutcome): void;
    countOf(key: string): number;
    readonly total: number;
}

/** Creates an empty set of waiting answers. */
export function createWaiters(emit: (effect: OrdersEffect) => void): Waiters {
    const keys = new Map<string, string>();
    const identifiers = new Map<string, Set<string>>();

    function join(key: string, identifier: string): void {
        const members = identifiers.get(key) ?? new Set();
        members.add(identifier);
        identifiers.set(key, members);
        keys.set(identifier, key);
    }

    function abandon(identifier: string): void {
        const key = keys.get(identifier);
        if (key === undefined) {
            return;
        }
        keys.delete(identifier);
        const members = identifiers.get(key);
        members?.delete(identifier);
        if (members?.size === 0) {
            identifiers.delete(key);
        }
    }

    function answer(key: string, outcome: OrderOutcome): void {
        const members = identifiers.get(key) ?? [];
        identifiers.delete(key);
        for (const identifier of members) {
            keys.delete(identifier);
            emit({ type: "reply", identifier, outcome });
        }
    }

    return {
        join,
        abandon,
        answer,
        countOf: key => identifiers.get(key)?.size ?? 0,
        get total() {
            return keys.size;
        },
    };
}
