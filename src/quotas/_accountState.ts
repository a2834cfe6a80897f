/**
 * What this host keeps of one account with a quota.
 *
 * @module
 */
import { type AccountQuota } from "../accounts/index.js";
import { type RandomSource } from "../decision/index.js";
import { AdmissionShare } from "./admissionShare.js";
import { ADMITTED_TIME_CONSTANT_MILLISECONDS, BucketReplica } from "./bucketReplica.js";
import { MovingRate } from "./movingRate.js";

/** Time constant of offered rates; longer ones follow a jump too late. */
const OFFERED_TIME_CONSTANT_MILLISECONDS = 1_000;

/** A request counts among what is offered as one in this time, beside those before it. */
const OWN_REQUEST_SECONDS = 3;

/** Window over which a quota holds. */
const WINDOW_SECONDS = 8;

/** Time in which a surplus is spread over requests; longer than most reports take to arrive. */
const SURPLUS_HORIZON_SECONDS = 1;

/** Time in which a debt is repaid: hosts that repay it faster than reports arrive refuse everything for seconds. */
const DEBT_HORIZON_SECONDS = 2;

/** Time for which the use of other hosts is taken to be unreported; reports are 0.25 s old in a cell, 0.7 s from others. */
const MEAN_REPORT_AGE_SECONDS = 0.3;

/** The hosts that this one hears, itself included, and the part of a quota that falls to them. */
export interface HeardHosts {
    readonly heard: number;
    readonly known: number;
    readonly share: number;
    /** True where many of those heard before are silent now. */
    readonly areFewer: boolean;
}

/**
 * Where this host counts an account's requests only for this time, and others report less than this share of the quota,
 * all hosts may have been restarted at once, and callers may ask for this many times the quota.
 */
const UNREPORTED_MILLISECONDS = 600;
const UNREPORTED_SHARE = 0.1;
const ASSUMED_OVERLOAD = 2;

/** Options of {@linkcode AccountState}. */
export interface AccountStateOptions {
    readonly random: RandomSource;
    readonly sinceMilliseconds: number;
    readonly nowMilliseconds: number;
    /** Rate beyond the quota that is given out. */
    readonly spareTokensPerSecond: number;
}

/** An account's bucket, rates and admission share at this host. */
export class AccountState {
    readonly bucket: BucketReplica;
    /** The bucket that this host would have alone with its part of the quota. */
    readonly ownPart: BucketReplica;
    readonly #share: AdmissionShare;
    readonly admitted = new MovingRate(ADMITTED_TIME_CONSTANT_MILLISECONDS);
    readonly #offered = new MovingRate(OFFERED_TIME_CONSTANT_MILLISECONDS);
    /** Tokens a second that other hosts are asked for. */
    othersOffered = 0;
    readonly #sinceMilliseconds: number;
    /** True where this host knows others, whose requests it may not have heard of yet. */
    #hasPeers = false;

    /** @param options.sinceMilliseconds Since when this host counts the account's requests. */
    constructor(quota: AccountQuota, options: AccountStateOptions) {
        const { nowMilliseconds, random, sinceMilliseconds, spareTokensPerSecond } = options;
        this.#sinceMilliseconds = sinceMilliseconds;
        this.bucket = new BucketReplica(quota, nowMilliseconds, spareTokensPerSecond);
        this.ownPart = new BucketReplica(quota, nowMilliseconds, spareTokensPerSecond);
        this.#share = new AdmissionShare(random);
    }

    /** Applies a changed quota. */
    setQuota(quota: AccountQuota, nowMilliseconds: number): void {
        this.bucket.setQuota(quota, nowMilliseconds);
        this.ownPart.setQuota(quota, nowMilliseconds);
    }

    /** Takes the tokens of an admitted request; negative ones are given back. */
    take(tokens: number, nowMilliseconds: number): void {
        this.admitted.add(tokens, nowMilliseconds);
        this.bucket.take(tokens, nowMilliseconds);
        this.ownPart.take(tokens, nowMilliseconds);
    }

    /**
     * Divides the quota by the hosts that this one hears. Where they become fewer, what hosts admitted beyond their part
     * before they noticed is a debt: each of them is taken to have as much of it as this one.
     */
    setHosts({ areFewer, heard, known, share }: HeardHosts, nowMilliseconds: number): void {
        this.#hasPeers = known > 1;
        this.bucket.setShare(share, nowMilliseconds);
        this.ownPart.setShare(1 / known, nowMilliseconds);
        if (areFewer) {
            this.bucket.limit(this.ownPart.level(nowMilliseconds) * heard, nowMilliseconds);
        }
    }

    /** Tokens a second that callers ask this host for. */
    ownOffered(nowMilliseconds: number): number {
        return this.#offered.readSince(this.#sinceMilliseconds, nowMilliseconds);
    }

    /** Tokens a second that callers ask for at all hosts. */
    offeredPerSecond(nowMilliseconds: number): number {
        const offered = this.ownOffered(nowMilliseconds) + this.othersOffered;
        const { refillTokensPerSecond } = this.bucket;
        const isUnknown = this.#hasPeers && nowMilliseconds - this.#sinceMilliseconds < UNREPORTED_MILLISECONDS
            && this.othersOffered < refillTokensPerSecond * UNREPORTED_SHARE;
        return isUnknown ? Math.max(offered, refillTokensPerSecond * ASSUMED_OVERLOAD) : offered;
    }

    /** Returns whether a request is admitted; one that is uses its tokens. */
    admit(tokens: number, nowMilliseconds: number): boolean {
        if (this.#neverFits(tokens)) {
            return false;
        }
        // One request shortly after the start must not be taken for a high rate.
        const offered = this.offeredPerSecond(nowMilliseconds) + tokens / OWN_REQUEST_SECONDS;
        this.#offered.add(tokens, nowMilliseconds);
        const isAdmitted = this.#share.take(this.#admissiblePerSecond(nowMilliseconds) / Math.max(1, offered));
        if (isAdmitted) {
            this.take(tokens, nowMilliseconds);
        }
        return isAdmitted;
    }

    /** Returns whether a request is larger than all that the quota allows in a window: it must not weigh on others. */
    #neverFits(tokens: number): boolean {
        const { burstTokens, tokensPerSecond } = this.bucket.quota;
        return tokens > tokensPerSecond * WINDOW_SECONDS + burstTokens;
    }

    /** Returns the tokens a second that all hosts in contact may admit now. */
    #admissiblePerSecond(nowMilliseconds: number): number {
        const { othersPerSecond, refillTokensPerSecond } = this.bucket;
        const unreported = Math.min(othersPerSecond, refillTokensPerSecond) * MEAN_REPORT_AGE_SECONDS;
        const level = this.bucket.level(nowMilliseconds) - unreported;
        return refillTokensPerSecond + level / (level > 0 ? SURPLUS_HORIZON_SECONDS : DEBT_HORIZON_SECONDS);
    }

    /** Returns whether nothing of the account's use is left: it is then as one that has used nothing. */
    isIdle(nowMilliseconds: number): boolean {
        return this.othersOffered < 1 && this.bucket.isFull(nowMilliseconds);
    }
}
