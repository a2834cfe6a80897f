/**
 * Client accounts: who a request belongs to.
 *
 * None of these decisions opens a socket or reads a clock.
 *
 * @example
 * ```ts
 * import { AccountDirectory } from "./index.js";
 *
 * const identity = new AccountDirectory(accounts).identify(authorization);
 * ```
 *
 * @module
 */
export { AccountDirectory } from "./accountDirectory.js";
export { accountTag, bindToAccount } from "./bindToAccount.js";
export { type ConfigurationEvidence, decideUnknownKey, type UnknownKeyVerdict } from "./decideUnknownKey.js";
export { findAccountProblem } from "./findAccountProblem.js";
export { digestKey, isUsableKey, loggedKey, readBearerKey } from "./keyDigest.js";
export { requestTokens } from "./requestTokens.js";
export { type Account, type AccountQuota, type Identity, type RequestAccount } from "./types.js";
