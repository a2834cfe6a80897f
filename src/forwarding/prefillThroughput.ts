/**
 * How fast engines read prompts.
 *
 * @module
 */

/** Weight of one more first token among those observed. */
const OBSERVATION_WEIGHT = 0.02;

/** Fewer first tokens than this say too little. */
const FEWEST_OBSERVATIONS = 40;

/** A first token later than this waited for more than reading. */
const LONGEST_READING_MILLISECONDS = 3_000;

/** Prompts of one length tell no speed; their spread has to be at least this part of their mean. */
const LEAST_SPREAD = 0.05;

/** A first token: what the engine had to read before it, its own prompt included, and how long it took. */
export interface FirstTokenObservation {
    readonly prefillTokens: number;
    readonly tookMilliseconds: number;
}

/**
 * Learns the speed from how much later first tokens come where more is to be read before them; what all first tokens
 * wait for besides, such as the engine's steps, is left out.
 *
 * @example
 * ```ts
 * const speed = new ReadingSpeed();
 * speed.note({ unreadTokens: 2_400, tookMilliseconds: 210 });
 * speed.tokensPerMillisecond; // undefined until there are enough
 * ```
 */
export class PrefillThroughput {
    #observations = 0;
    #meanTokens = 0;
    #meanMilliseconds = 0;
    #variance = 0;
    #covariance = 0;

    /** Takes a first token of an engine that had room for its request. */
    record({ tookMilliseconds, prefillTokens: unreadTokens }: FirstTokenObservation): void {
        if (tookMilliseconds > LONGEST_READING_MILLISECONDS) {
            return;
        }
        this.#observations += 1;
        const weight = Math.max(OBSERVATION_WEIGHT, 1 / this.#observations);
        const tokens = unreadTokens - this.#meanTokens;
        const milliseconds = tookMilliseconds - this.#meanMilliseconds;
        this.#meanTokens += weight * tokens;
        this.#meanMilliseconds += weight * milliseconds;
        this.#variance = (1 - weight) * (this.#variance + weight * tokens * tokens);
        this.#covariance = (1 - weight) * (this.#covariance + weight * tokens * milliseconds);
    }

    /** Tokens that an engine reads in a millisecond beside its streams; `undefined` while too little is known. */
    get tokensPerMillisecond(): number | undefined {
        const spread = Math.sqrt(this.#variance);
        const isKnown = this.#observations >= FEWEST_OBSERVATIONS
            && spread > this.#meanTokens * LEAST_SPREAD && this.#covariance > 0;
        return isKnown ? this.#variance / this.#covariance : undefined;
    }
}
