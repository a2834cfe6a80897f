/**
 * Identifiers that callers choose, kept apart by account.
 *
 * @module
 */
import { createHash } from "node:crypto";

const TAG_DIGITS = 12;

/** Stands in no header value. */
const SEPARATOR = "\0";

/**
 * Returns an identifier that differs from all identifiers of other accounts; unchanged for a request without an account.
 *
 * @param identifier An identifier that a caller chose.
 * @param account The caller's account.
 *
 * @example
 * ```ts
 * bindToAccount("9c41d07be2a35f68", "mill") === bindToAccount("9c41d07be2a35f68", "loom"); // false
 * ```
 */
export function bindToAccount(identifier: string, account: string | undefined): string {
    return account === undefined ? identifier : `${account}${SEPARATOR}${identifier}`;
}

/**
 * Returns a short digest of an account's name, which fits into identifiers of limited length.
 *
 * @param account The account's name.
 *
 * @example
 * ```ts
 * const bound = `${accountTag("mill")}:${part}`;
 * ```
 */
export function accountTag(account: string): string {
    return createHash("sha256").update(account).digest("hex").slice(0, TAG_DIGITS);
}
