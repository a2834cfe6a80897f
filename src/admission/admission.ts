/**
 * Decides which waiting requests go first, and which are refused before their time to wait has passed.
 *
 * @module
 */
import { DispatchRates } from "./dispatchRates.js";
import { FirstEventTimes } from "./firstEventTimes.js";
import { compareQueueRanks, type QueueRank } from "./queueRank.js";
import { ServedShares } from "./servedShares.js";
import { type EarlyRefusal, type QueueFacts, type WaitEstimate, type WaitOutcome } from "./types.js";

/** Interval in which what has not been used for long is forgotten. */
const PRUNE_INTERVAL_MILLISECONDS = 10_000;

/** Slots of an upstream are kept free for a priority if a request of it has come within this time. */
const PRESENCE_MILLISECONDS = 60_000;

/** A slot is kept free for accounts within their fair share if a request of one has come within this time. */
const SHARE_PRESENCE_MILLISECONDS = 2_000;

/** Slots that a request leaves free for more urgent priorities, one for each, at most. */
const MAXIMUM_PRIORITY_SLOTS = 2;

/**
 * Share of the sure wait that counts for accounts over their fair share: their requests go last within their priority, and
 * before the others once they have waited half of what they may.
 */
const OVERTAKING_SHARE = 0.5;

/** Options of {@linkcode Admission}. */
export interface AdmissionOptions {
    /** Returns whether the requests of a service are ordered and refused by what is measured here. */
    readonly isInForce: (service: string) => boolean;
    /** Returns whether an account uses more than its fair share; never by default. */
    readonly isOverFairShare?: (account: string) => boolean;
}

/** A waiting request with its rank. */
export interface RankedRequest<Request> {
    readonly request: Request;
    readonly rank: QueueRank;
}

/** What an order of waiting requests depends on beside their ranks. */
export interface QueuedRequest {
    readonly waitKey: string | undefined;
    readonly queueFacts: QueueFacts;
    /** Requests of its group in front of it at the last pass; `undefined` before its first. */
    passPosition: number | undefined;
}

/** Requests of one group at the last pass. */
interface Pass {
    readonly ranks: readonly QueueRank[];
    /** Requests that have ceased to wait since. */
    ended: number;
}

/** What an early refusal depends on. */
export interface RefusalInput {
    readonly facts: QueueFacts;
    readonly estimate: WaitEstimate | undefined;
    /** Time for which the request may still wait. */
    readonly remainingWaitMilliseconds: number;
    /** Time until its deadline. */
    readonly remainingMilliseconds: number;
    /** True where it need not leave slots free at the end of its wait. */
    readonly takesAnySlotAtEnd: boolean;
}

function serviceKey({ service }: QueueFacts): string {
    return service;
}

function shareKeys({ account, priority, service }: QueueFacts): string[] {
    const keys = [`${service} priority ${priority}`];
    return account === undefined ? keys : [...keys, `${service} account ${account}`];
}

/** Returns how many ranks of a sorted list are below a rank. */
function countBelow(ranks: readonly QueueRank[], rank: QueueRank): number {
    let low = 0;
    let high = ranks.length;
    while (low < high) {
        const middle = (low + high) >>> 1;
        const other = ranks[middle];
        if (other !== undefined && compareQueueRanks(other, rank) < 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

/**
 * The waiting requests of one host, as far as decisions on them need.
 *
 * @example
 * ```ts
 * const admission = new Admission({ isInForce: () => true });
 * admission.recordBegun("chat", now);
 * const estimate = admission.estimate("chat", { rank, passPosition: undefined }, now);
 * const times = { remainingWaitMilliseconds, remainingMilliseconds, takesAnySlotAtEnd: false };
 * const refusal = admission.decideRefusal({ facts, estimate, ...times });
 * ```
 */
export class Admission {
    readonly firstEvents = new FirstEventTimes();
    readonly #options: AdmissionOptions;
    readonly #rates = new DispatchRates();
    readonly #shares = new ServedShares();
    readonly #passes = new Map<string, Pass>();
    /** When the last request of each priority came, by service. */
    readonly #lastRequests = new Map<string, Map<number, number>>();
    /** When the last request of an account within its fair share came, by service. */
    readonly #lastWithinShare = new Map<string, number>();
    #prunedAtMilliseconds = 0;

    constructor(options: AdmissionOptions) {
        this.#options = options;
    }

    /** Returns whether the requests of a service are ordered and refused by what is measured here. */
    isInForce(service: string): boolean {
        return this.#options.isInForce(service);
    }

    isOverFairShare(account: string | undefined): boolean {
        return account !== undefined && this.#options.isOverFairShare?.(account) === true;
    }

    /** Records that a request of a group begins to wait. */
    recordBegun(key: string, nowMilliseconds: number): void {
        this.#rates.recordBegun(key, nowMilliseconds);
    }

    /** Records that a request of a group has ceased to wait. */
    recordEnded(key: string, outcome: WaitOutcome, nowMilliseconds: number): void {
        this.#rates.recordEnded(key, outcome, nowMilliseconds);
        const pass = this.#passes.get(key);
        if (pass !== undefined) {
            pass.ended += 1;
        }
    }

    /** Records that a request was sent for the first time, or ended without. */
    recordOutcome(facts: QueueFacts, isServed: boolean, nowMilliseconds: number): void {
        this.#shares.record(serviceKey(facts), shareKeys(facts), isServed, nowMilliseconds);
        const priorities = this.#lastRequests.get(facts.service) ?? new Map<number, number>();
        this.#lastRequests.set(facts.service, priorities);
        priorities.set(facts.priority, nowMilliseconds);
        if (facts.account !== undefined && !this.isOverFairShare(facts.account)) {
            this.#lastWithinShare.set(facts.service, nowMilliseconds);
        }
    }

    /**
     * Returns how many slots of each upstream a request leaves free: one for each more urgent priority, and one for
     * accounts within their fair share. Other hosts may have such requests waiting, which this host cannot see; an order
     * of its own waiting requests does not help them.
     *
     * @param facts The request.
     * @param isLastMoment True at the end of its wait, if it can still meet its target: it then leaves none for
     * more urgent requests, since it would be refused.
     * @param nowMilliseconds The time.
     */
    slotsLeftFree(facts: QueueFacts, isLastMoment: boolean, nowMilliseconds: number): number {
        if (!this.isInForce(facts.service)) {
            return 0;
        }
        const forUrgent = isLastMoment ? 0 : this.#countMoreUrgent(facts, nowMilliseconds);
        const forOthers = this.#isBesideSmallerAccounts(facts, nowMilliseconds) ? 1 : 0;
        const left = Math.min(MAXIMUM_PRIORITY_SLOTS, forUrgent) + forOthers;
        return left > 0 && this.#isUnderserved(facts) ? 0 : left;
    }

    /** Returns whether a request's account is over its fair share, and one within its own has used the service lately. */
    #isBesideSmallerAccounts({ account, service }: QueueFacts, nowMilliseconds: number): boolean {
        const atMilliseconds = this.#lastWithinShare.get(service) ?? Number.NEGATIVE_INFINITY;
        return nowMilliseconds - atMilliseconds < SHARE_PRESENCE_MILLISECONDS && this.isOverFairShare(account);
    }

    /** Returns how many more urgent priorities a service had requests of lately. */
    #countMoreUrgent({ priority, service }: QueueFacts, nowMilliseconds: number): number {
        let count = 0;
        for (const [other, atMilliseconds] of this.#lastRequests.get(service) ?? []) {
            if (other < priority && nowMilliseconds - atMilliseconds < PRESENCE_MILLISECONDS) {
                count += 1;
            }
        }
        return count;
    }

    /**
     * Returns the expected wait of a waiting request; `undefined` where too little is known of its group.
     *
     * @param key The request's group.
     * @param place Its rank, and its position at the last pass if it was part of it.
     * @param nowMilliseconds The time.
     */
    estimate(
        key: string,
        { passPosition, rank }: { readonly passPosition: number | undefined; readonly rank: QueueRank; },
        nowMilliseconds: number,
    ): WaitEstimate | undefined {
        const pass = this.#passes.get(key);
        const position = passPosition ?? (pass === undefined ? 0 : countBelow(pass.ranks, rank));
        const others = Math.max(0, this.#rates.waiting(key) - 1);
        const inFront = Math.min(Math.max(0, position - (pass?.ended ?? 0)), others);
        return this.#rates.estimate(key, inFront, nowMilliseconds);
    }

    /** Returns the expected wait of a request that comes back after all that wait now; `undefined` where not known. */
    estimateReturn(key: string, nowMilliseconds: number): WaitEstimate | undefined {
        return this.#rates.estimate(key, this.#rates.waiting(key), nowMilliseconds);
    }

    /** Returns why a request that no upstream has room for is refused at once; `undefined` where it may wait. */
    decideRefusal(
        { estimate, facts, remainingMilliseconds, remainingWaitMilliseconds, takesAnySlotAtEnd }: RefusalInput,
    ): EarlyRefusal | undefined {
        const servableMilliseconds = remainingMilliseconds - this.firstEvents.short(facts.service);
        if (servableMilliseconds < 0) {
            return "too-little-time";
        }
        const share = this.isOverFairShare(facts.account) ? OVERTAKING_SHARE : 1;
        const isTooLong = estimate !== undefined
            && estimate.surelyMilliseconds * share > Math.min(remainingWaitMilliseconds, servableMilliseconds);
        return isTooLong && !takesAnySlotAtEnd && !this.#isUnderserved(facts) ? "expected-wait" : undefined;
    }

    /**
     * Begins a pass over the waiting requests, sorted by rank: sets their positions, and lets one request of each group go
     * first whose priority or account is served too seldom.
     */
    arrange<Request extends QueuedRequest>(
        sorted: readonly RankedRequest<Request>[],
        nowMilliseconds: number,
    ): readonly RankedRequest<Request>[] {
        const measured = sorted.filter(({ request }) => this.isInForce(request.queueFacts.service));
        if (measured.length === 0) {
            this.#passes.clear();
            return sorted;
        }
        this.#prune(nowMilliseconds);
        this.#passes.clear();
        const ranksOf = new Map<string, QueueRank[]>();
        for (const { rank, request } of measured) {
            const { waitKey } = request;
            if (waitKey !== undefined) {
                const ranks = ranksOf.get(waitKey) ?? [];
                ranksOf.set(waitKey, ranks);
                request.passPosition = ranks.length;
                ranks.push(rank);
            }
        }
        ranksOf.forEach((ranks, key) => this.#passes.set(key, { ranks, ended: 0 }));
        return this.#favourUnderserved(sorted);
    }

    #favourUnderserved<Request extends QueuedRequest>(
        sorted: readonly RankedRequest<Request>[],
    ): readonly RankedRequest<Request>[] {
        const underserved = new Map<string, boolean>();
        const favoured = new Set<string>();
        const first: RankedRequest<Request>[] = [];
        const others: RankedRequest<Request>[] = [];
        for (const ranked of sorted) {
            const { queueFacts, waitKey } = ranked.request;
            const isMeasured = waitKey !== undefined && this.isInForce(queueFacts.service);
            const key = isMeasured ? this.#findUnderserved(queueFacts, underserved) : undefined;
            const favour = `${waitKey} ${key}`;
            if (key !== undefined && !favoured.has(favour)) {
                favoured.add(favour);
                ranked.request.passPosition = 0;
                first.push(ranked);
            }
            else {
                others.push(ranked);
            }
        }
        return first.length === 0 ? sorted : [...first, ...others];
    }

    /** Returns what a request has in common with those that are served too seldom; `known` holds what was found before. */
    #findUnderserved(facts: QueueFacts, known: Map<string, boolean>): string | undefined {
        return shareKeys(facts).find(key => {
            const isUnderserved = known.get(key) ?? this.#shares.isUnderserved(serviceKey(facts), key);
            known.set(key, isUnderserved);
            return isUnderserved;
        });
    }

    #isUnderserved(facts: QueueFacts): boolean {
        return shareKeys(facts).some(key => this.#shares.isUnderserved(serviceKey(facts), key));
    }

    #prune(nowMilliseconds: number): void {
        if (nowMilliseconds - this.#prunedAtMilliseconds >= PRUNE_INTERVAL_MILLISECONDS) {
            this.#prunedAtMilliseconds = nowMilliseconds;
            this.#rates.prune(nowMilliseconds);
            this.#shares.prune(nowMilliseconds);
        }
    }
}
