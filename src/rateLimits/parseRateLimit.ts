/**
 * Parses the rate limits that upstreams name.
 *
 * @module
 */

const DECIMAL_NUMBER = /^\d+(\.\d+)?$/;

/** Parsed value of a header that names a rate limit. */
export type ParsedRateLimit =
    | { readonly type: "limit"; readonly requestsPerSecond: number; }
    | { readonly type: "unreadable"; };

/**
 * Parses the value of a header that names a rate limit, a decimal number of requests a second.
 *
 * @param text The header's value.
 * @returns The limit; `unreadable` where the value is not a decimal number of at least 0.
 *
 * @example
 * ```ts
 * parseRateLimit("4.1"); // { type: "limit", requestsPerSecond: 4.1 }
 * parseRateLimit("4, 5"); // { type: "unreadable" }
 * ```
 */
export function parseRateLimit(text: string): ParsedRateLimit {
    const requestsPerSecond = DECIMAL_NUMBER.test(text.trim()) ? Number(text) : Number.NaN;
    return Number.isFinite(requestsPerSecond) ? { type: "limit", requestsPerSecond } : { type: "unreadable" };
}
