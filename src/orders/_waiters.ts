/**
 * Requests that wait for the outcome of an order key.
 *
 * @module
 */
import { type OrderOutcome } from "../generated/peers.js";
import { type OrdersEffect } from "./messages.js";

/** Pending replies by key; each is sent at most once, and none after its request was abandoned. */
export interface Waiters {
    join(key: string, identifier: string): void;
    abandon(identifier: string): void;
    answer(key: string, outcome: OrderOutcome): void;
    countOf(key: string): number;
    readonly total: number;
}

/** Creates an empty set of pending replies. */
export function createWaiters(emit: (effect: OrdersEffect) => void): Waiters {
    const keyByIdentifier = new Map<string, string>();
    const identifiersByKey = new Map<string, Set<string>>();

    function join(key: string, identifier: string): void {
        const waiting = identifiersByKey.get(key) ?? new Set();
        waiting.add(identifier);
        identifiersByKey.set(key, waiting);
        keyByIdentifier.set(identifier, key);
    }

    function abandon(identifier: string): void {
        const key = keyByIdentifier.get(identifier);
        if (key === undefined) {
            return;
        }
        keyByIdentifier.delete(identifier);
        const waiting = identifiersByKey.get(key);
        waiting?.delete(identifier);
        if (waiting?.size === 0) {
            identifiersByKey.delete(key);
        }
    }

    function answer(key: string, outcome: OrderOutcome): void {
        const waiting = identifiersByKey.get(key) ?? [];
        identifiersByKey.delete(key);
        for (const identifier of waiting) {
            keyByIdentifier.delete(identifier);
            emit({ type: "reply", identifier, outcome });
        }
    }

    return {
        join,
        abandon,
        answer,
        countOf: key => identifiersByKey.get(key)?.size ?? 0,
        get total() {
            return keyByIdentifier.size;
        },
    };
}
