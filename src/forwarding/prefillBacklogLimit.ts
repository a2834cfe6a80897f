/**
 * Adapts the limit on the prefill backlog of engines to the gaps in their streams.
 *
 * Engines' prefill throughput is not configured, and on some engines gaps never exceed what callers accept, however
 * large the backlog. So the limit grows quickly until gaps become too long, returns to its value before that growth,
 * and from there on is adjusted slowly.
 *
 * @module
 */

/** Limit until gaps have been observed. */
const INITIAL_TOKENS = 2_600;

const MINIMUM_TOKENS = 1_300;
const MAXIMUM_TOKENS = 10_400;

/** Growth of the limit at an accepted gap, while it may grow quickly and while it may not. */
const QUICK_GROWTH_FACTOR = 1.03;
const SLOW_GROWTH_FACTOR = 1.0004;

/** Decrease of the limit at an excessive gap, in the same two phases. */
const QUICK_DECREASE_FACTOR = 0.9;
const SLOW_DECREASE_FACTOR = 0.97;

/** Excessive gaps within this time count as one gap of several streams, and lower the limit once. */
const SAME_GAP_MILLISECONDS = 400;

/** Weight of a new observation in the moving average of the share of excessive gaps. */
const OBSERVATION_WEIGHT = 0.05;

/** Share of excessive gaps below which the limit may grow quickly. */
const LOW_LONG_GAP_SHARE = 0.03;

/** Share of excessive gaps from which quick growth has gone too far and is reverted. */
const HIGH_LONG_GAP_SHARE = 0.1;

/** Time until the limit may grow quickly again after quick growth was reverted; doubles each time. */
const INITIAL_SLOW_GROWTH_MILLISECONDS = 30_000;
const MAXIMUM_SLOW_GROWTH_MILLISECONDS = 600_000;

/** A gap of more than this many times the accepted one has another cause than prefill. */
const OTHER_CAUSE_FACTOR = 4;

/** The longest gap in a part of a stream. */
export interface ObservedGap {
    readonly longestGapMilliseconds: number;
    /** Maximum gap that the stream's callers accept. */
    readonly acceptedGapMilliseconds: number;
}

/**
 * Adapts the limit to the gaps of streams that ran beside a prefill backlog.
 *
 * @example
 * ```ts
 * const limit = new PrefillBacklogLimit();
 * limit.record({ longestGapMilliseconds: 90, acceptedGapMilliseconds: 150 }, now);
 * limit.tokens;
 * ```
 */
export class PrefillBacklogLimit {
    #tokens = INITIAL_TOKENS;
    /** The limit before it last began to grow quickly. */
    #settledTokens = INITIAL_TOKENS;
    #longGapShare = 0;
    #slowGrowthUntilMilliseconds = Number.NEGATIVE_INFINITY;
    #slowGrowthMilliseconds = INITIAL_SLOW_GROWTH_MILLISECONDS;
    #loweredAtMilliseconds = Number.NEGATIVE_INFINITY;

    get tokens(): number {
        return this.#tokens;
    }

    /** Records the longest gap in a part of a stream and adjusts the limit. */
    record(
        { acceptedGapMilliseconds, longestGapMilliseconds }: ObservedGap,
        nowMilliseconds: number,
    ): void {
        if (longestGapMilliseconds > acceptedGapMilliseconds * OTHER_CAUSE_FACTOR) {
            return;
        }
        const isTooLong = longestGapMilliseconds > acceptedGapMilliseconds;
        this.#longGapShare += OBSERVATION_WEIGHT * ((isTooLong ? 1 : 0) - this.#longGapShare);
        if (this.#longGapShare >= HIGH_LONG_GAP_SHARE && this.#mayGrowQuickly(nowMilliseconds)) {
            this.#endQuickGrowth(nowMilliseconds);
        }
        if (isTooLong) {
            this.#lower(nowMilliseconds);
        }
        else {
            this.#raise(nowMilliseconds);
        }
    }

    #mayGrowQuickly(nowMilliseconds: number): boolean {
        return nowMilliseconds >= this.#slowGrowthUntilMilliseconds;
    }

    #endQuickGrowth(nowMilliseconds: number): void {
        this.#tokens = Math.min(this.#tokens, this.#settledTokens);
        this.#slowGrowthUntilMilliseconds = nowMilliseconds + this.#slowGrowthMilliseconds;
        this.#slowGrowthMilliseconds = Math.min(MAXIMUM_SLOW_GROWTH_MILLISECONDS, this.#slowGrowthMilliseconds * 2);
    }

    #lower(nowMilliseconds: number): void {
        if (nowMilliseconds - this.#loweredAtMilliseconds >= SAME_GAP_MILLISECONDS) {
            this.#loweredAtMilliseconds = nowMilliseconds;
            const factor = this.#mayGrowQuickly(nowMilliseconds) ? QUICK_DECREASE_FACTOR : SLOW_DECREASE_FACTOR;
            this.#tokens = Math.max(MINIMUM_TOKENS, this.#tokens * factor);
        }
    }

    #raise(nowMilliseconds: number): void {
        const mayGrowQuickly = this.#mayGrowQuickly(nowMilliseconds);
        const factor = mayGrowQuickly && this.#longGapShare < LOW_LONG_GAP_SHARE
            ? QUICK_GROWTH_FACTOR
            : SLOW_GROWTH_FACTOR;
        this.#tokens = Math.min(MAXIMUM_TOKENS, this.#tokens * factor);
        this.#settledTokens = mayGrowQuickly ? this.#settledTokens : this.#tokens;
    }
}
