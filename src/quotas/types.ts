/**
 * What quotas decide, and what hosts tell each other of their use.
 *
 * @module
 */

/** Whether a request is within its account's quota. */
export type QuotaDecision =
    | { readonly type: "admitted"; }
    | { readonly type: "over-quota"; readonly retryAfterMilliseconds: number; };

/** Use of one account's quota at one host, or at several together. */
export interface AccountUse {
    readonly account: string;
    /** Tokens a second of requests that were admitted. */
    readonly admitted: number;
    /** Tokens a second of all requests, admitted or refused. */
    readonly offered: number;
}

/** State of an account's quota for logs. */
export interface QuotaState {
    /** Tokens left at this moment, over all hosts; negative for a debt. */
    readonly levelTokens: number;
    readonly tokensPerSecond: number;
    /** Tokens a second that callers ask for at all hosts. */
    readonly offeredTokensPerSecond: number;
    /** Age of the oldest report of other hosts in use; `undefined` where there is none. */
    readonly newsAgeMilliseconds: number | undefined;
}
