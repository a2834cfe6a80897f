/**
 * Reads API keys, and replaces them by digests.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** Digits of a digest that log lines show. */
const LOGGED_DIGITS = 12;

/** A key consists of visible ASCII characters: others cannot be sent in a header. */
const KEY_PATTERN = /^[!-~]+$/;

const SCHEME = "Bearer ";

/**
 * Returns whether a text can be sent as a key.
 *
 * @example
 * ```ts
 * isUsableKey("two words"); // false
 * ```
 */
export function isUsableKey(text: string): boolean {
    return KEY_PATTERN.test(text);
}

/**
 * Returns the digest by which a key is stored, compared and logged.
 *
 * @param key The key.
 * @returns Its SHA-256 digest, in hexadecimal.
 *
 * @example
 * ```ts
 * const digest = digestKey("k7b2ex5wa5xwyhks8nbk");
 * ```
 */
export function digestKey(key: string): string {
    return createHash("sha256").update(key).digest("hex");
}

/** Returns the part of a key's digest that log lines show. */
export function loggedKey(keyDigest: string): string {
    return keyDigest.slice(0, LOGGED_DIGITS);
}

/**
 * Reads the key of an `Authorization` header. Only the form `Bearer KEY` with one space is accepted.
 *
 * @param authorization The header's value; `undefined` where there is none.
 *
 * @example
 * ```ts
 * readBearerKey("Bearer k7b2ex5wa5xwyhks8nbk"); // "k7b2ex5wa5xwyhks8nbk"
 * readBearerKey("Basic azdiMmV4"); // undefined
 * ```
 */
export function readBearerKey(authorization: string | undefined): string | undefined {
    if (authorization?.startsWith(SCHEME) !== true) {
        return undefined;
    }
    const key = authorization.slice(SCHEME.length);
    return isUsableKey(key) ? key : undefined;
}
