/**
 * Creates and classifies outcomes of orders.
 *
 * @module
 */
import { type RefusalReason } from "../generated/callers.js";
import { type OrderOutcome } from "../generated/peers.js";

/** Outcome of an order that got no result; `ran` states whether it may have run. */
export type RefusedOutcome = Extract<OrderOutcome, { type: "refused"; }>;

/** Returns a refusal; without `retryAfterMilliseconds` a retry cannot succeed. */
export function refuse(
    reason: RefusalReason,
    ran: RefusedOutcome["ran"],
    options: { readonly message: string; readonly retryAfterMilliseconds?: number; },
): RefusedOutcome {
    return { type: "refused", reason, ran, ...options };
}

/** Returns whether an order with this outcome may have reached a plain service. */
export function mayHaveRun(outcome: OrderOutcome): boolean {
    return outcome.type === "answered" || outcome.ran === "may-have-run";
}

/** Refuses an order whose key was first used for another order; `ran` is about the first order. */
export function refuseReusedKey(first: OrderOutcome | undefined): RefusedOutcome {
    const didNotRun = first !== undefined && !mayHaveRun(first);
    return refuse("order-key-reused", didNotRun ? "not-run" : "may-have-run", {
        message: "this key was first used for another order; this order was not passed on, the first one "
            + (didNotRun ? "did not run" : "may have run"),
    });
}

/** Returns the size of an outcome's result in characters, the unit of the memory bounds. */
export function countResultCharacters(outcome: OrderOutcome): number {
    return outcome.type === "answered" ? outcome.result.body.length + outcome.result.contentType.length : 0;
}
