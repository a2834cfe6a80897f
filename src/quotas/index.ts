/**
 * Quotas of client accounts over all hosts.
 *
 * None of these decisions opens a socket or reads a clock.
 *
 * @example
 * ```ts
 * import { AccountQuotas } from "./index.js";
 * ```
 *
 * @module
 */
export { AccountQuotas, type AccountQuotasOptions } from "./accountQuotas.js";
export { type AccountUse, type QuotaDecision, type QuotaState } from "./types.js";
