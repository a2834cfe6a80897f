/**
 * Tells long prompts from others.
 *
 * @module
 */

/** Prompts of more than this many times the mean of their service are long. */
const LONG_FACTOR = 2;

/** Weight of a new prompt in the mean of its service. */
const PROMPT_WEIGHT = 0.02;

/**
 * Averages the prompts of each service.
 *
 * @example
 * ```ts
 * const sizes = new PromptSizes();
 * sizes.record("chat", 383);
 * sizes.isLong("chat", 2_300); // true
 * ```
 */
export class PromptSizes {
    readonly #means = new Map<string, { tokens: number; prompts: number; }>();

    /** Records the prompt of a request that is sent. */
    record(service: string, promptTokens: number): void {
        const mean = this.#means.get(service) ?? { tokens: 0, prompts: 0 };
        this.#means.set(service, mean);
        mean.prompts += 1;
        mean.tokens += Math.max(PROMPT_WEIGHT, 1 / mean.prompts) * (promptTokens - mean.tokens);
    }

    /** Returns whether a prompt is long for its service; false while none was sent. */
    isLong(service: string, promptTokens: number): boolean {
        const mean = this.#means.get(service);
        return mean !== undefined && promptTokens > mean.tokens * LONG_FACTOR;
    }
}
