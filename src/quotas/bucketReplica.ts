/**
 * This host's replica of an account's token bucket.
 *
 * @module
 */
import { type AccountQuota } from "../accounts/index.js";

/** Time constant of the `admitted` rates that hosts report; part of the messages' meaning. */
export const ADMITTED_TIME_CONSTANT_MILLISECONDS = 3_000;

/** A debt is at most this many seconds of the rate: longer than a window, no window holds what caused it. */
const MAXIMUM_DEBT_SECONDS = 6;

/** Hosts that come into contact are taken to have a debt of at most this many seconds of their part of the rate. */
const MAXIMUM_JOINED_DEBT_SECONDS = 2;

const MILLISECONDS_PER_SECOND = 1_000;

const ADMITTED_TIME_CONSTANT_SECONDS = ADMITTED_TIME_CONSTANT_MILLISECONDS / MILLISECONDS_PER_SECOND;

/**
 * A token bucket that all hosts draw from, as one of them sees it. It refills at the quota's rate up to the burst, and
 * drops by what this host admits and by the rates that others report.
 *
 * Between reports it drops at the last reported rate. A report that raises the rate by `d` drops it by `d` times the
 * time constant at once, since a moving average `e` of tokens whose integral is `E` has counted `E + e * constant`. So
 * tokens count when they are reported, and a lost report loses none.
 *
 * @example
 * ```ts
 * const bucket = new BucketReplica({ tokensPerSecond: 1_900, burstTokens: 1_900 }, now);
 * bucket.adjustOthers(400, 400, now);
 * bucket.take(1_500, now);
 * bucket.level(now);
 * ```
 */
export class BucketReplica {
    #quota: AccountQuota;
    /** Part of the quota that falls to the hosts that this one hears, itself included. */
    #share = 1;
    #levelTokens = 0;
    #atMilliseconds: number;
    #othersPerSecond = 0;

    readonly #spareTokensPerSecond: number;

    /**
     * The bucket starts empty, since hosts may have used the burst before this one started.
     *
     * @param quota The account's quota.
     * @param nowMilliseconds The time.
     * @param spareTokensPerSecond Rate beyond the quota that is given out.
     */
    constructor(quota: AccountQuota, nowMilliseconds: number, spareTokensPerSecond = 0) {
        this.#quota = quota;
        this.#spareTokensPerSecond = spareTokensPerSecond;
        this.#atMilliseconds = nowMilliseconds;
    }

    get quota(): AccountQuota {
        return this.#quota;
    }

    /** Rate at which the hosts in contact may admit. */
    get refillTokensPerSecond(): number {
        return (this.#quota.tokensPerSecond + this.#spareTokensPerSecond) * this.#share;
    }

    /** Tokens a second that other hosts admit. */
    get othersPerSecond(): number {
        return this.#othersPerSecond;
    }

    /** Applies a changed quota. Use before a lower one counted within the one before, so hardly any debt remains. */
    setQuota(quota: AccountQuota, nowMilliseconds: number): void {
        this.#advance(nowMilliseconds);
        if (this.#levelTokens < 0 && quota.tokensPerSecond < this.#quota.tokensPerSecond) {
            this.#levelTokens = Math.max(this.#levelTokens, -quota.tokensPerSecond * this.#share);
        }
        this.#quota = quota;
    }

    /**
     * Sets the part of the quota that falls to the hosts in contact. Where they become more, those that join are taken to
     * have a debt in proportion to that of the others.
     */
    setShare(share: number, nowMilliseconds: number): void {
        this.#advance(nowMilliseconds);
        if (share > this.#share && this.#levelTokens < 0) {
            const joinedDebt = this.#levelTokens * share / this.#share;
            const maximum = -this.#quota.tokensPerSecond * share * MAXIMUM_JOINED_DEBT_SECONDS;
            this.#levelTokens = Math.min(this.#levelTokens, Math.max(joinedDebt, maximum));
        }
        this.#share = share;
    }

    /** Takes the tokens of an admitted request; negative ones are given back. */
    take(tokens: number, nowMilliseconds: number): void {
        this.#advance(nowMilliseconds);
        this.#levelTokens -= tokens;
    }

    /**
     * Changes the rate at which other hosts admit.
     *
     * @param difference Change of the rate in tokens a second.
     * @param counted The part of it that stands for tokens not yet counted. The rate of a host that is heard for the
     *     first time, or no longer, stands for none: its tokens came from its own part of the quota, or are counted.
     * @param nowMilliseconds The time.
     */
    adjustOthers(difference: number, counted: number, nowMilliseconds: number): void {
        this.#advance(nowMilliseconds);
        this.#othersPerSecond = Math.max(0, this.#othersPerSecond + difference);
        this.#levelTokens -= counted * ADMITTED_TIME_CONSTANT_SECONDS;
    }

    /** Lowers the level to a bound. */
    limit(tokens: number, nowMilliseconds: number): void {
        this.#advance(nowMilliseconds);
        this.#levelTokens = Math.min(this.#levelTokens, tokens);
    }

    /** Returns the tokens left; negative for a debt. */
    level(nowMilliseconds: number): number {
        this.#advance(nowMilliseconds);
        return this.#levelTokens;
    }

    /** Returns whether the bucket holds all that it can. */
    isFull(nowMilliseconds: number): boolean {
        return this.level(nowMilliseconds) >= this.#quota.burstTokens * this.#share;
    }

    #advance(nowMilliseconds: number): void {
        const { burstTokens } = this.#quota;
        const elapsedSeconds = Math.max(0, nowMilliseconds - this.#atMilliseconds) / MILLISECONDS_PER_SECOND;
        const change = (this.refillTokensPerSecond - this.#othersPerSecond) * elapsedSeconds;
        const level = Math.min(burstTokens * this.#share, this.#levelTokens + change);
        this.#levelTokens = Math.max(-this.refillTokensPerSecond * MAXIMUM_DEBT_SECONDS, level);
        this.#atMilliseconds = Math.max(nowMilliseconds, this.#atMilliseconds);
    }
}
