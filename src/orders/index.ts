/**
 * Orders: non-idempotent calls of plain services, run at most once.
 *
 * The decision determines which process may run the order of a key, which outcome a retry gets, and when a refusal may
 * state `not-run`. Its caller carries out the effects and reports their results as messages.
 *
 * @example
 * ```ts
 * import { createSeededRandom } from "../decision/index.js";
 * import { createOrdersDecision } from "./index.js";
 *
 * const orders = createOrdersDecision({ identity, random: createSeededRandom(1), wallClockOffsetMilliseconds: 0 });
 * const effects = orders.handle({ type: "tick" }, 0);
 * ```
 *
 * @module
 */
export { MAXIMUM_INQUIRY_PEERS } from "./_inquiry.js";
export {
    type ClaimBatcherEffect,
    type ClaimBatcherMessage,
    type ClaimBatcherOptions,
    createClaimBatcher,
    type VersionedClaims,
} from "./claimBatcher.js";
export { type Order, type OrdersEffect, type OrdersMessage } from "./messages.js";
export {
    hashOrderBody,
    isSameProcess,
    issueTicket,
    type MalformedOrderKey,
    MAXIMUM_KEY_LENGTH,
    type OrderKey,
    parseOrderKey,
    type ProcessName,
    type Ticket,
    ticketOf,
} from "./orderKey.js";
export { createOrdersDecision, type OrdersDecision, type OrdersSnapshot } from "./ordersDecision.js";
export { type OrdersOptions } from "./ordersOptions.js";
