/**
 * Client accounts as operators configure them, independent of the configuration's text format.
 *
 * @module
 */

/** The tokens that an account may use, over all hosts together. */
export interface AccountQuota {
    readonly tokensPerSecond: number;
    /** Tokens that may be used at once beyond the rate. */
    readonly burstTokens: number;
}

/** A client account. */
export interface Account {
    readonly name: string;
    /** SHA-256 digests of its keys, in hexadecimal. */
    readonly keyDigests: readonly string[];
    /** Replaces the priority of routes; `undefined` where the route's applies. */
    readonly priority: number | undefined;
    /** Cost of a request without a token count. */
    readonly plainTokens: number;
    /** `undefined` for an account without a limit. */
    readonly quota: AccountQuota | undefined;
}

/** The account of one request, and what the request costs it. */
export interface RequestAccount {
    readonly account: Account;
    /** Digest of the key that the request came with. */
    readonly keyDigest: string;
    /** Short digest of the account's name. */
    readonly tag: string;
    readonly tokens: number;
}

/** Who a request belongs to. */
export type Identity =
    | { readonly type: "account"; readonly account: Account; readonly keyDigest: string; }
    /** It has no key, or not in the one form that is accepted. */
    | { readonly type: "no-key"; }
    /** No account holds its key. */
    | { readonly type: "unknown-key"; readonly keyDigest: string; };
