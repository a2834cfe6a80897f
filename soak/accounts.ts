/**
 * The client accounts of a soak, and which of them sends a request.
 *
 * @module
 */
import { hashText } from "../src/decision/index.js";

/** Accounts in the platform's format; the second has a quota beyond what the soak's callers ask for. */
export const ACCOUNTS = [
    { name: "mill", apiKeys: ["asnmgkcuyj8pjbvk9m68"], plainTokens: 1 },
    { name: "loom", apiKeys: ["k7b2ex5wa5xwyhks8nbk"], plainTokens: 1, ratePerS: 100_000, burst: 100_000 },
] as const;

/** An account, by what a caller sends and an engine should get of it. */
export interface SoakAccount {
    readonly name: string;
    readonly key: string;
}

/**
 * Returns the account that sends a request, which follows from the request's identifier.
 *
 * @param requestId The identifier.
 *
 * @example
 * ```ts
 * accountOf("order-17").name; // "mill" or "loom"
 * ```
 */
export function accountOf(requestId: string): SoakAccount {
    const { apiKeys, name } = ACCOUNTS[hashText(requestId) % ACCOUNTS.length] ?? ACCOUNTS[0];
    return { name, key: apiKeys[0] };
}
