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
