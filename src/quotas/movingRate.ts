/**
 * Moving average of a rate.
 *
 * @module
 */

/** A rate is not estimated from less time than this. */
const MINIMUM_MEASURED_MILLISECONDS = 200;

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Averages tokens a second with exponential weights.
 *
 * The average times its time constant is what is still to come of the tokens in the integral of the average. A reader
 * that integrates it can therefore count tokens at once, see {@linkcode BucketReplica}.
 *
 * @example
 * ```ts
 * const rate = new MovingRate(3_000);
 * rate.add(1_500, now);
 * rate.read(now); // 500
 * ```
 */
export class MovingRate {
    readonly #timeConstantMilliseconds: number;
    #tokensPerSecond = 0;
    #atMilliseconds = 0;

    constructor(timeConstantMilliseconds: number) {
        this.#timeConstantMilliseconds = timeConstantMilliseconds;
    }

    /** Adds tokens; negative ones take back what was added before. */
    add(tokens: number, nowMilliseconds: number): void {
        const added = tokens * MILLISECONDS_PER_SECOND / this.#timeConstantMilliseconds;
        this.#tokensPerSecond = Math.max(0, this.read(nowMilliseconds) + added);
        this.#atMilliseconds = nowMilliseconds;
    }

    /**
     * Returns the average in tokens a second of what was added since a time.
     *
     * The plain average takes the time before as time without tokens, and is too low until several time constants later.
     */
    readSince(sinceMilliseconds: number, nowMilliseconds: number): number {
        const elapsed = Math.max(MINIMUM_MEASURED_MILLISECONDS, nowMilliseconds - sinceMilliseconds);
        return this.read(nowMilliseconds) / (1 - Math.exp(-elapsed / this.#timeConstantMilliseconds));
    }

    /** Returns the average in tokens a second. */
    read(nowMilliseconds: number): number {
        if (this.#tokensPerSecond === 0) {
            return 0;
        }
        const elapsed = Math.max(0, nowMilliseconds - this.#atMilliseconds);
        return this.#tokensPerSecond * Math.exp(-elapsed / this.#timeConstantMilliseconds);
    }
}
