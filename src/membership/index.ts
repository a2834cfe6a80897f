/**
 * Which hosts live, leave or are lost; addresses for callers; who polls which engine.
 *
 * Use it where hosts have to agree on duties without a message of their own, or to rank hosts for a caller.
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
export { type CallerPlace } from "./_ranking.js";
export {
    createMembershipDecision,
    type MembershipDecision,
    type MembershipOptions,
    type MembershipPresence,
} from "./membership.js";
export { type MembershipEffect, type MembershipMessage } from "./messages.js";
