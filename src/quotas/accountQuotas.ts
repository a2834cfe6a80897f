/**
 * The quotas of all accounts, as this host sees them.
 *
 * @module
 */
import { type Account, type AccountQuota } from "../accounts/index.js";
import { type RandomSource } from "../decision/index.js";
import { AccountState, type HeardHosts } from "./_accountState.js";
import { mostUsed } from "./_mostUsed.js";
import { retryDelayMilliseconds } from "./retryDelay.js";
import { type AccountUse, MAXIMUM_ACCOUNTS_PER_MESSAGE, type QuotaDecision, type QuotaState } from "./types.js";
import { type ReportedChange, UseSources } from "./useSources.js";

/** While this part of the known hosts is heard, the whole quota is used: the overage covers the rest. */
const MOST_HOSTS_PART = 0.95;

/** Hosts become many fewer where this part of them or less is left. */
const FEWER_HOSTS_PART = 0.75;

/** A host that performs no round for this long, rounds being up to 540 ms apart, has stood still. */
const STANDSTILL_MILLISECONDS = 1_300;

/** After a standstill, reports that arrive within this time may have waited for the host. */
const OLD_REPORTS_MILLISECONDS = 100;

/**
 * Sums of other cells that arrive within this time of the start may be from before: where all hosts are restarted at
 * once, they tell of many hosts and no use.
 */
const OLD_SUMS_MILLISECONDS = 1_200;

/**
 * Within a window after its start a host uses only this part of quotas: where all hosts are restarted at once after a
 * jump, none of them knows of the debt.
 */
const STARTING_MILLISECONDS = 8_000;
const STARTING_PART = 0.9;

/** Admitted rates of all hosts are computed again after this time. */
const RATES_LIFETIME_MILLISECONDS = 200;

/** Accounts that a gauge names, and the name of the rest. */
const MAXIMUM_NAMED_ACCOUNTS = 64;
const OTHER_ACCOUNTS = "other";

/**
 * Part of the slack that is given out: requests of a small account are so few and large that hosts would otherwise use
 * less than its quota in some minutes. The rest is for what hosts admit on old reports.
 */
const GIVEN_SLACK_PART = 0.15;

const MILLISECONDS_PER_SECOND = 1_000;

const ADMITTED: QuotaDecision = { type: "admitted" };

/** Options of {@linkcode AccountQuotas}. */
export interface AccountQuotasOptions {
    readonly random: RandomSource;
    /** Number of known hosts, this one included; called for every message, so it should not iterate over them. */
    readonly hostCount: () => number;
    /** Returns whether this host hears other hosts, or knows of none. */
    readonly hearsPeers: (nowMilliseconds: number) => boolean;
    /** Tokens a second by which an account may exceed its quota over a window; none by default. */
    readonly slackTokensPerSecond?: number | undefined;
}

/** How a report of use was made. */
export interface UseReport {
    /** Number of hosts that it adds up; by default, one. */
    readonly hosts?: number | undefined;
}

/** A quota, and since when the account has had one. */
interface KnownQuota {
    readonly quota: AccountQuota;
    readonly sinceMilliseconds: number;
}

/** Rates of all accounts at one time. */
interface KnownRates {
    readonly rates: ReadonlyMap<string, number>;
    readonly atMilliseconds: number;
}

/**
 * Admits requests within the quota of their account. Each host keeps a replica of each account's token bucket, and
 * hosts tell each other their rates, see `docs/design/account-quotas.md`.
 *
 * @example
 * ```ts
 * const quotas = new AccountQuotas({ random, hostCount: () => 3, hearsPeers: () => true });
 * quotas.setAccounts(accounts, now);
 * quotas.recordUse("entry-2", [{ account: "a", admitted: 400, offered: 400 }], now);
 * quotas.admit("a", 1_500, now); // { type: "admitted" }
 * ```
 */
export class AccountQuotas {
    readonly #options: AccountQuotasOptions;
    readonly #quotas = new Map<string, KnownQuota>();
    /** States of the accounts in use; an account without one has used nothing for long. */
    readonly #states = new Map<string, AccountState>();
    readonly #sources = new UseSources((change, now) => this.#applyChange(change, now));
    /** Part of the quotas that falls to this host and those that it hears. */
    #hosts: HeardHosts = { heard: 1, known: 1, share: 1, areFewer: false };
    /** The part that fell to them when they last became many fewer, or a larger one since. */
    #formerShare = 1;
    #shareChangedAtMilliseconds = Number.NEGATIVE_INFINITY;
    /** Time of the last call of `ownUse`, once a round. */
    #roundAtMilliseconds = Number.POSITIVE_INFINITY;
    #trustsReportsAtMilliseconds = Number.NEGATIVE_INFINITY;
    /** When this host first knew of a quota. */
    #startedAtMilliseconds = Number.NEGATIVE_INFINITY;
    #known: KnownRates = { rates: new Map(), atMilliseconds: Number.NEGATIVE_INFINITY };

    constructor(options: AccountQuotasOptions) {
        this.#options = options;
    }

    /** Sets the accounts of the configuration in force. */
    setAccounts(accounts: readonly Account[], nowMilliseconds: number): void {
        if (this.#quotas.size === 0) {
            this.#startedAtMilliseconds = nowMilliseconds;
        }
        const quotas = new Map(accounts.flatMap(({ name, quota }) => quota === undefined ? [] : [[name, quota]]));
        for (const name of this.#quotas.keys()) {
            if (!quotas.has(name)) {
                this.#quotas.delete(name);
                this.#states.delete(name);
            }
        }
        for (const [name, quota] of quotas) {
            const sinceMilliseconds = this.#quotas.get(name)?.sinceMilliseconds ?? nowMilliseconds;
            this.#quotas.set(name, { quota, sinceMilliseconds });
            this.#states.get(name)?.setQuota(quota, nowMilliseconds);
        }
        this.#updateShare(nowMilliseconds);
    }

    /** Decides whether a request is within its account's quota; one that is uses its tokens. */
    admit(account: string, tokens: number, nowMilliseconds: number): QuotaDecision {
        const state = this.#stateOf(account, nowMilliseconds);
        if (state === undefined) {
            return ADMITTED;
        }
        this.#notice(nowMilliseconds);
        if (state.admit(tokens, nowMilliseconds)) {
            return ADMITTED;
        }
        const retryAfterMilliseconds = retryDelayMilliseconds({
            tokens,
            levelTokens: state.bucket.level(nowMilliseconds),
            tokensPerSecond: state.bucket.quota.tokensPerSecond,
            offeredPerSecond: state.offeredPerSecond(nowMilliseconds),
            random: this.#options.random,
        });
        return { type: "over-quota", retryAfterMilliseconds };
    }

    /** Gives back the tokens of an admitted request that no upstream ran. */
    giveBack(account: string, tokens: number, nowMilliseconds: number): void {
        this.#states.get(account)?.take(-tokens, nowMilliseconds);
    }

    /** Returns this host's use for its digest, at most 64 accounts; `undefined` where no account has a quota. */
    ownUse(nowMilliseconds: number): AccountUse[] | undefined {
        this.#notice(nowMilliseconds);
        this.#roundAtMilliseconds = nowMilliseconds;
        this.#updateShare(nowMilliseconds);
        if (this.#quotas.size === 0) {
            return undefined;
        }
        const use: AccountUse[] = [];
        for (const [account, state] of this.#states) {
            const admitted = Math.round(state.admitted.read(nowMilliseconds));
            const offered = Math.round(state.ownOffered(nowMilliseconds));
            if (admitted > 0 || offered > 0) {
                use.push({ account, admitted, offered: Math.max(admitted, offered) });
            }
            else if (state.isIdle(nowMilliseconds)) {
                this.#states.delete(account);
            }
        }
        return this.selectForMessage(use);
    }

    /** Returns the entries that a message has room for: those with the largest use relative to their quota. */
    selectForMessage(use: readonly AccountUse[]): AccountUse[] {
        return mostUsed(use, account => this.#quotas.get(account)?.quota.tokensPerSecond);
    }

    /**
     * Records the use that another host, or the other cells together, reported.
     *
     * @param source The host, or a name for the other cells.
     * @param use Its report, which replaces the one before.
     * @param nowMilliseconds The time.
     * @param report.hosts Number of hosts that the report adds up; by default, one.
     */
    recordUse(
        source: string,
        use: readonly AccountUse[],
        nowMilliseconds: number,
        { hosts = 1 }: UseReport = {},
    ): void {
        this.#notice(nowMilliseconds);
        const isOldSum = hosts > 1 && nowMilliseconds < this.#startedAtMilliseconds + OLD_SUMS_MILLISECONDS;
        if (isOldSum || nowMilliseconds < this.#trustsReportsAtMilliseconds) {
            return;
        }
        const isPartial = use.length >= MAXIMUM_ACCOUNTS_PER_MESSAGE;
        this.#sources.record(source, use, { hosts, isPartial, nowMilliseconds });
        this.#updateShare(nowMilliseconds);
    }

    /** Returns the tokens a second admitted at all hosts, by account; the same map for a short time. */
    admittedRates(nowMilliseconds: number): ReadonlyMap<string, number> {
        if (nowMilliseconds - this.#known.atMilliseconds >= RATES_LIFETIME_MILLISECONDS) {
            const rates = new Map<string, number>();
            for (const [account, { admitted, bucket }] of this.#states) {
                const rate = admitted.read(nowMilliseconds) + bucket.othersPerSecond;
                if (rate >= 1) {
                    rates.set(account, rate);
                }
            }
            this.#known = { rates, atMilliseconds: nowMilliseconds };
        }
        return this.#known.rates;
    }

    /**
     * Returns the part of the quotas in use by account, over all hosts. Of many accounts, those with the largest part are
     * named, and `other` has the largest of the rest.
     */
    quotaUse(nowMilliseconds: number): ReadonlyMap<string, number> {
        const rates = this.admittedRates(nowMilliseconds);
        const parts = [...rates].map(([account, rate]): [string, number] => [
            account,
            rate / (this.#quotas.get(account)?.quota.tokensPerSecond ?? Number.POSITIVE_INFINITY),
        ]);
        parts.sort(([, left], [, right]) => right - left);
        const named = new Map(parts.slice(0, MAXIMUM_NAMED_ACCOUNTS));
        const [, largestOther] = parts[MAXIMUM_NAMED_ACCOUNTS] ?? [];
        return largestOther === undefined ? named : named.set(OTHER_ACCOUNTS, largestOther);
    }

    /** Describes an account's quota; `undefined` for an account without one. */
    describe(account: string, nowMilliseconds: number): QuotaState | undefined {
        const known = this.#quotas.get(account);
        const state = this.#states.get(account);
        if (known === undefined) {
            return undefined;
        }
        const oldest = this.#sources.oldestAtMilliseconds;
        return {
            levelTokens: state?.bucket.level(nowMilliseconds) ?? this.#unusedTokens(known, nowMilliseconds),
            tokensPerSecond: known.quota.tokensPerSecond,
            offeredTokensPerSecond: state?.offeredPerSecond(nowMilliseconds) ?? 0,
            newsAgeMilliseconds: oldest === undefined ? undefined : nowMilliseconds - oldest,
        };
    }

    /** Notices that reports have expired, or that this host has stood still: what it hears first then is old. */
    #notice(nowMilliseconds: number): void {
        if (nowMilliseconds - this.#roundAtMilliseconds > STANDSTILL_MILLISECONDS) {
            this.#roundAtMilliseconds = nowMilliseconds;
            this.#trustsReportsAtMilliseconds = nowMilliseconds + OLD_REPORTS_MILLISECONDS;
            this.#sources.clear(nowMilliseconds);
            this.#updateShare(nowMilliseconds);
        }
        else if (this.#sources.expire(nowMilliseconds)) {
            this.#updateShare(nowMilliseconds);
        }
    }

    /** Returns the state of an account with a quota, and begins one where it has been idle. */
    #stateOf(account: string, nowMilliseconds: number): AccountState | undefined {
        const state = this.#states.get(account);
        if (state !== undefined) {
            return state;
        }
        const known = this.#quotas.get(account);
        if (known === undefined) {
            return undefined;
        }
        const begun = new AccountState(known.quota, {
            random: this.#options.random,
            sinceMilliseconds: known.sinceMilliseconds,
            nowMilliseconds,
            spareTokensPerSecond: (this.#options.slackTokensPerSecond ?? 0) * GIVEN_SLACK_PART,
        });
        begun.setHosts(this.#hosts, nowMilliseconds);
        const unused = this.#unusedTokens(known, nowMilliseconds);
        begun.bucket.take(-unused, nowMilliseconds);
        begun.ownPart.take(-unused, nowMilliseconds);
        const others = this.#sources.sum(account);
        begun.bucket.adjustOthers(others.admitted, 0, nowMilliseconds);
        begun.othersOffered = others.offered;
        this.#states.set(account, begun);
        return begun;
    }

    /** Returns the tokens in the bucket of an account that has used none since it was configured. */
    #unusedTokens({ quota, sinceMilliseconds }: KnownQuota, nowMilliseconds: number): number {
        const since = Math.max(sinceMilliseconds, this.#shareChangedAtMilliseconds);
        const filled = quota.tokensPerSecond * (nowMilliseconds - since) / MILLISECONDS_PER_SECOND;
        return Math.min(quota.burstTokens, filled) * this.#hosts.share;
    }

    #applyChange({ account, admitted, counted, offered }: ReportedChange, nowMilliseconds: number): void {
        const known = this.#states.get(account);
        const state = known ?? this.#stateOf(account, nowMilliseconds);
        if (state === undefined) {
            return;
        }
        state.bucket.adjustOthers(admitted, counted, nowMilliseconds);
        state.othersOffered = Math.max(0, state.othersOffered + offered);
    }

    /**
     * Divides the quotas by the hosts that this one hears. A silent host may go on with the part of the quota that falls
     * to it alone, until it is no longer known.
     */
    #updateShare(nowMilliseconds: number): void {
        const { hearsPeers, hostCount } = this.#options;
        const heard = hearsPeers(nowMilliseconds) ? 1 + this.#sources.hosts : 1;
        const known = Math.max(1, hostCount());
        const part = heard / known;
        const isStarting = nowMilliseconds < this.#startedAtMilliseconds + STARTING_MILLISECONDS;
        const share = (part >= MOST_HOSTS_PART ? 1 : part) * (isStarting ? STARTING_PART : 1);
        if (share !== this.#hosts.share || known !== this.#hosts.known) {
            this.#shareChangedAtMilliseconds = share === this.#hosts.share
                ? this.#shareChangedAtMilliseconds
                : nowMilliseconds;
            const areFewer = share < this.#formerShare * FEWER_HOSTS_PART;
            this.#formerShare = areFewer ? share : Math.max(share, this.#formerShare);
            this.#hosts = { heard, known, share, areFewer };
            this.#states.forEach(state => state.setHosts(this.#hosts, nowMilliseconds));
        }
    }
}
