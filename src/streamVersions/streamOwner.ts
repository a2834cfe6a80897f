/**
 * To which account a stream belongs.
 *
 * Hosts remember a stream of an account twice: under an identifier that only the account's own requests lead to, with the
 * version that began it, and under the identifier of the request alone, with the mark of its owner.
 *
 * @module
 */

/** No software version of an upstream begins like this. */
const MARK_PREFIX = "account:";

/** What was found of a stream. */
export type FoundStream =
    | {
        readonly type: "found";
        readonly version: string;
        readonly source: "host" | "peer" | "store" | "only-version";
    }
    | { readonly type: "unknown"; }
    | { readonly type: "unavailable"; };

/**
 * Returns the mark of an account's streams, which stands in the place of a version.
 *
 * @param tag Short digest of the account's name.
 */
export function ownerMark(tag: string): string {
    return MARK_PREFIX + tag;
}

/** Returns whether a stream is on record, so that its version need not be the only one in service. */
export function isOnRecord(found: FoundStream): boolean {
    return found.type === "found" && found.source !== "only-version";
}

/**
 * Decides whether a caller may resume a stream, from what was found under the identifier of its account and under that of
 * the request alone. A stream that another account has begun is unknown to the caller.
 *
 * @param own What was found under the account's identifier.
 * @param unbound What was found under the request's identifier.
 * @param tag Short digest of the name of the caller's account; `undefined` for a caller without an account.
 *
 * @example
 * ```ts
 * const found = findOwnStream({ type: "unknown" }, { type: "found", version: ownerMark("5b0c"), source: "peer" }, "77aa");
 * // { type: "unknown" }
 * ```
 */
export function findOwnStream(own: FoundStream, unbound: FoundStream, tag: string | undefined): FoundStream {
    if (isOnRecord(own) && own.type === "found" && !own.version.startsWith(MARK_PREFIX)) {
        return own;
    }
    const marked = [own, unbound].filter(found => isOnRecord(found));
    const isOfOther = marked.some(found =>
        found.type === "found" && found.version.startsWith(MARK_PREFIX)
        && (tag === undefined || found.version !== ownerMark(tag))
    );
    if (isOfOther) {
        return { type: "unknown" };
    }
    const hasVersion = unbound.type === "found" && !unbound.version.startsWith(MARK_PREFIX);
    return isOnRecord(unbound) && hasVersion ? unbound : own;
}
