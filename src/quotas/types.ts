/**
 * What quotas decide, and what hosts tell each other of their use.
 *
 * @module
 */

/** Accounts in one message between hosts. */
export const MAXIMUM_ACCOUNTS_PER_MESSAGE = 64;

/** Whether a request is within its account's quota. */
export type QuotaDecision =
    | { readonly type: "admitted"; }
    | { readonly type: "over-quota"; readonly retryAfterMilliseconds: number; };

/** Use of one account's quota at one host, or at several together. */
export interface AccountUse {
    readonly account: string;
    /** Tokens a second of requests that were admitted, averaged over 3 s with exponential weights. */
    readonly admitted: number;
    /** Tokens a second of all requests, admitted or refused, averaged over 1 s with exponential weights. */
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
