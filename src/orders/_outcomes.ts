/**
 * Outcomes of orders.
 *
 * @module
 */
import { type RefusalReason } from "../generated/callers.js";
import { type OrderOutcome } from "../generated/peers.js";

/** A refusal of an order. */
export type RefusedOutcome = Extract<OrderOutcome, { type: "refused"; }>;

/** Makes a refusal; without `retryAfterMilliseconds` a repeat cannot help. */
export function refuse(
    reason: RefusalReason,
    ran: RefusedOutcome["ran"],
    options: { readonly message: string; readonly retryAfterMilliseconds?: number; },
): RefusedOutcome {
    return { type: "refused", reason, ran, ...options };
}

/** Tells whether a key with this outcome may have reached a plain service. */
export function mayHaveRun(outcome: OrderOutcome): boolean {
    return outcome.type === "answered" || outcome.ran === "may-have-run";
}

/** Refuses a key that came again with another body; `ran` speaks of the key. */
export function refuseReusedKey(first: OrderOutcome | undefined): RefusedOutcome {
    const sealed = first !== undefined && !mayHaveRun(first);
    return refuse("order-key-reused", sealed ? "not-run" : "may-have-run", {
        message: "this key was first used for another order; this order was not passed on, the first one "
            + (sealed ? "did not run" : "may have run"),
    });
}

/** Counts the characters that an outcome holds. */
export function sizeOf(outcome: OrderOutcome): number {
    return outcome.type === "answered" ? outcome.result.body.length + outcome.result.contentType.length : 0;
}
