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
export { AccountQuotas, type AccountQuotasOptions, type UseReport } from "./accountQuotas.js";
export { fairLevel, isOverFairShare } from "./fairShares.js";
export { type AccountUse, MAXIMUM_ACCOUNTS_PER_MESSAGE, type QuotaDecision, type QuotaState } from "./types.js";
