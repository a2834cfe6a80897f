/**
 * Host membership by heartbeats: which hosts are live, leaving or lost, which addresses callers get, and which host
 * polls an engine.
 *
 * Use it to assign duties to hosts without further messages between them, or to rank hosts for a caller.
 *
 * @example
 * ```ts
 * import { createMembershipDecision } from "./index.js";
 *
 * const membership = createMembershipDecision({ identity, random });
 * const addresses = membership.rankAddresses({ zone: "ma-west-1" });
 * ```
 *
 * @module
 */
export { FULL_MESH_HOSTS } from "./_fanOut.js";
export { type CallerLocation } from "./_ranking.js";
export {
    createMembershipDecision,
    type MembershipDecision,
    type MembershipOptions,
    type MembershipPresence,
} from "./membership.js";
export { type MembershipEffect, type MembershipMessage } from "./messages.js";
