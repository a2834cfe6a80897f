/**
 * Client accounts: who a request belongs to.
 *
 * None of these decisions opens a socket or reads a clock.
 *
 * @example
 * ```ts
 * import { type Account } from "./index.js";
 * ```
 *
 * @module
 */
export { type Account, type AccountQuota } from "./types.js";
