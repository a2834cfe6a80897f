/**
 * Estimates engines' prefill throughput.
 *
 * @module
 */

/** Weight of a new first token in the moving averages. */
const OBSERVATION_WEIGHT = 0.02;

/** Minimum number of first tokens for an estimate. */
const MINIMUM_OBSERVATIONS = 40;

/** A first token that took longer was delayed by more than prefill, and is ignored. */
const MAXIMUM_FIRST_TOKEN_MILLISECONDS = 3_000;

/** Prompts of one length give no estimate; the standard deviation of tokens must exceed this share of the mean. */
const MINIMUM_RELATIVE_DEVIATION = 0.05;

/** A first token: the tokens prefilled before it, those of its own prompt included, and the time it took. */
export interface FirstTokenObservation {
    readonly prefillTokens: number;
    readonly tookMilliseconds: number;
}

/**
 * Estimates prefill throughput by a linear regression of first-token times on the tokens prefilled before them. Delays
 * that all first tokens have in common, such as the engine's steps, do not affect its slope.
 *
 * @example
 * ```ts
 * const throughput = new PrefillThroughput();
 * throughput.record({ prefillTokens: 2_400, tookMilliseconds: 210 });
 * throughput.tokensPerMillisecond; // undefined until there are enough
 * ```
 */
export class PrefillThroughput {
    #observations = 0;
    #meanTokens = 0;
    #meanMilliseconds = 0;
    #variance = 0;
    #covariance = 0;

    /** Records a first token of an engine that had room for its request. */
    record({ tookMilliseconds, prefillTokens }: FirstTokenObservation): void {
        if (tookMilliseconds > MAXIMUM_FIRST_TOKEN_MILLISECONDS) {
            return;
        }
        this.#observations += 1;
        const weight = Math.max(OBSERVATION_WEIGHT, 1 / this.#observations);
        const tokensDeviation = prefillTokens - this.#meanTokens;
        const millisecondsDeviation = tookMilliseconds - this.#meanMilliseconds;
        this.#meanTokens += weight * tokensDeviation;
        this.#meanMilliseconds += weight * millisecondsDeviation;
        this.#variance = (1 - weight) * (this.#variance + weight * tokensDeviation * tokensDeviation);
        this.#covariance = (1 - weight) * (this.#covariance + weight * tokensDeviation * millisecondsDeviation);
    }

    /** Tokens that an engine prefills per millisecond beside its streams; `undefined` while inconclusive. */
    get tokensPerMillisecond(): number | undefined {
        const standardDeviation = Math.sqrt(this.#variance);
        const isKnown = this.#observations >= MINIMUM_OBSERVATIONS
            && standardDeviation > this.#meanTokens * MINIMUM_RELATIVE_DEVIATION && this.#covariance > 0;
        return isKnown ? this.#variance / this.#covariance : undefined;
    }
}
