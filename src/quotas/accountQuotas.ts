/**
 * The quotas of all accounts, as this host sees them.
 *
 * @module
 */
import { type Account } from "../accounts/index.js";
import { type RandomSource } from "../decision/index.js";
import { type AccountUse, type QuotaDecision, type QuotaState } from "./types.js";

/** Options of {@linkcode AccountQuotas}. */
export interface AccountQuotasOptions {
    readonly random: RandomSource;
    /** Number of known hosts, this one included. */
    readonly hostCount: () => number;
    /** Returns whether this host hears other hosts, or knows of none. */
    readonly hearsPeers: (nowMilliseconds: number) => boolean;
}

/** Admits requests within the quota of their account. */
export class AccountQuotas {
    constructor(_options: AccountQuotasOptions) {}

    /** Sets the accounts of the configuration in force. */
    setAccounts(_accounts: readonly Account[], _nowMilliseconds: number): void {}

    /** Decides whether a request is within its account's quota; one that is uses its tokens. */
    admit(_account: string, _tokens: number, _nowMilliseconds: number): QuotaDecision {
        return { type: "admitted" };
    }

    /** Gives back the tokens of an admitted request that no upstream ran. */
    giveBack(_account: string, _tokens: number, _nowMilliseconds: number): void {}

    /** Returns this host's use for its digest; `undefined` where it has none. */
    ownUse(_nowMilliseconds: number): AccountUse[] | undefined {
        return undefined;
    }

    /** Records the use that another host, or the other cells together, reported. */
    recordUse(_source: string, _use: readonly AccountUse[], _nowMilliseconds: number): void {}

    /** Returns the tokens a second admitted at all hosts, by account. */
    admittedRates(_nowMilliseconds: number): ReadonlyMap<string, number> {
        return new Map();
    }

    /** Describes an account's quota; `undefined` for an account without one. */
    describe(_account: string, _nowMilliseconds: number): QuotaState | undefined {
        return undefined;
    }
}
