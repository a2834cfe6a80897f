/**
 * Tells long prompts from others.
 *
 * @module
 */
import { RunningMean } from "../decision/index.js";

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
    readonly #means = new Map<string, RunningMean>();

    /** Records the prompt of a request that is sent. */
    record(service: string, promptTokens: number): void {
        const mean = this.#means.get(service) ?? new RunningMean(PROMPT_WEIGHT);
        this.#means.set(service, mean);
        mean.add(promptTokens);
    }

    /** Returns whether a prompt is long for its service; false while none was sent. */
    isLong(service: string, promptTokens: number): boolean {
        const mean = this.#means.get(service);
        return mean !== undefined && promptTokens > mean.value * LONG_FACTOR;
    }
}
