/**
 * How many unread prompt tokens an engine bears before its streams pause for too long.
 *
 * Engines read at speeds that nobody tells, and some never pause for longer than callers accept, however much they have
 * to read. So the bound grows quickly until pauses become too long, returns to where it was, and follows them slowly from
 * there.
 *
 * @module
 */

/** Assumed until pauses have been observed. */
const FIRST_TOKENS = 2_600;

const LEAST_TOKENS = 1_300;
const MOST_TOKENS = 10_400;

/** Growth of the bound by an observed pause that was not too long, while it may grow quickly and while it may not. */
const QUICK_FACTOR = 1.03;
const SLOW_FACTOR = 1.0004;

/** Its fall by one that was too long. */
const QUICK_FALL_FACTOR = 0.9;
const SLOW_FALL_FACTOR = 0.97;

/** Pauses that were too long within this time are one pause of several streams, and lower the bound once. */
const SAME_PAUSE_MILLISECONDS = 400;

/** Weight of one more observation in the share of pauses that are too long. */
const OBSERVATION_WEIGHT = 0.05;

/** Below this share the bound may grow quickly. */
const SELDOM_SHARE = 0.03;

/** From this share on, quick growth has gone too far and is taken back. */
const OFTEN_SHARE = 0.1;

/** Time until it may grow quickly again, which doubles each time that quick growth has ended so. */
const FIRST_SLOW_MILLISECONDS = 30_000;
const LONGEST_SLOW_MILLISECONDS = 600_000;

/** A pause of this many times what callers accept has another cause than reading. */
const OTHER_CAUSE_FACTOR = 4;

/** The longest pause in a part of a stream. */
export interface ObservedPause {
    readonly longestPauseMilliseconds: number;
    /** Longest pause that the stream's callers accept. */
    readonly acceptedPauseMilliseconds: number;
}

/**
 * Learns the bound from the pauses of streams that ran beside unread prompts.
 *
 * @example
 * ```ts
 * const bound = new PromptBound();
 * bound.note({ longestPauseMilliseconds: 90, acceptedPauseMilliseconds: 150 }, now);
 * bound.tokens;
 * ```
 */
export class PromptBound {
    #tokens = FIRST_TOKENS;
    /** The bound before it last began to grow quickly. */
    #settledTokens = FIRST_TOKENS;
    #tooLongShare = 0;
    #slowUntilMilliseconds = Number.NEGATIVE_INFINITY;
    #slowMilliseconds = FIRST_SLOW_MILLISECONDS;
    #loweredAtMilliseconds = Number.NEGATIVE_INFINITY;

    get tokens(): number {
        return this.#tokens;
    }

    /** Takes the longest pause in a part of a stream. */
    note({ acceptedPauseMilliseconds, longestPauseMilliseconds }: ObservedPause, nowMilliseconds: number): void {
        if (longestPauseMilliseconds > acceptedPauseMilliseconds * OTHER_CAUSE_FACTOR) {
            return;
        }
        const isTooLong = longestPauseMilliseconds > acceptedPauseMilliseconds;
        this.#tooLongShare += OBSERVATION_WEIGHT * ((isTooLong ? 1 : 0) - this.#tooLongShare);
        if (this.#tooLongShare >= OFTEN_SHARE && this.#mayGrowQuickly(nowMilliseconds)) {
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
        return nowMilliseconds >= this.#slowUntilMilliseconds;
    }

    #endQuickGrowth(nowMilliseconds: number): void {
        this.#tokens = Math.min(this.#tokens, this.#settledTokens);
        this.#slowUntilMilliseconds = nowMilliseconds + this.#slowMilliseconds;
        this.#slowMilliseconds = Math.min(LONGEST_SLOW_MILLISECONDS, this.#slowMilliseconds * 2);
    }

    #lower(nowMilliseconds: number): void {
        if (nowMilliseconds - this.#loweredAtMilliseconds >= SAME_PAUSE_MILLISECONDS) {
            this.#loweredAtMilliseconds = nowMilliseconds;
            const factor = this.#mayGrowQuickly(nowMilliseconds) ? QUICK_FALL_FACTOR : SLOW_FALL_FACTOR;
            this.#tokens = Math.max(LEAST_TOKENS, this.#tokens * factor);
        }
    }

    #raise(nowMilliseconds: number): void {
        const mayGrowQuickly = this.#mayGrowQuickly(nowMilliseconds);
        const factor = mayGrowQuickly && this.#tooLongShare < SELDOM_SHARE ? QUICK_FACTOR : SLOW_FACTOR;
        this.#tokens = Math.min(MOST_TOKENS, this.#tokens * factor);
        this.#settledTokens = mayGrowQuickly ? this.#settledTokens : this.#tokens;
    }
}
