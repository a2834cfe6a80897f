/**
 * Estimates the tokens that the requests of engines hold in their memory.
 *
 * @module
 */

/** Weight of a new request in the mean tokens of its service's requests. */
const REQUEST_WEIGHT = 0.02;

/** A request that this host has sent to an engine. */
export interface SentTokens {
    readonly engine: string;
    readonly service: string;
    /** Tokens of its prompt and its whole output. */
    readonly tokens: number;
    /** Tokens of its output. A request with a longer output is found at its engine for longer, and counts for more. */
    readonly outputTokens: number;
}

/** Requests of an engine, and how much they may hold. */
export interface EngineRequests {
    readonly engine: string;
    readonly service: string;
    /** Estimated number of its requests, those of this host included. */
    readonly requests: number;
    /** Number of its requests that this host sent. */
    readonly ownRequests: number;
}

interface MeanTokens {
    tokens: number;
    variance: number;
    requests: number;
    outputTokens: number;
}

/**
 * Sums the tokens of this host's requests at each engine, and assumes that those of other hosts hold as many as the mean
 * request of the service, and one standard deviation of their sum more.
 *
 * @example
 * ```ts
 * const memoryUse = new EngineMemoryUse();
 * memoryUse.recordStarted({ engine: "engine-3", service: "chat", tokens: 995, outputTokens: 280 });
 * memoryUse.heldTokens({ engine: "engine-3", service: "chat", requests: 3, ownRequests: 1 }); // 2985, all being alike
 * ```
 */
export class EngineMemoryUse {
    readonly #ownTokens = new Map<string, number>();
    readonly #means = new Map<string, MeanTokens>();

    /** Records a request that this host sends. */
    recordStarted({ engine, outputTokens, service, tokens }: SentTokens): void {
        this.#ownTokens.set(engine, (this.#ownTokens.get(engine) ?? 0) + tokens);
        const mean = this.#means.get(service) ?? { tokens: 0, variance: 0, requests: 0, outputTokens: 0 };
        this.#means.set(service, mean);
        mean.requests += 1;
        const requestWeight = Math.max(REQUEST_WEIGHT, 1 / mean.requests);
        mean.outputTokens += requestWeight * (outputTokens - mean.outputTokens);
        const weight = mean.outputTokens > 0
            ? Math.min(1, requestWeight * outputTokens / mean.outputTokens)
            : requestWeight;
        const deviation = tokens - mean.tokens;
        mean.tokens += weight * deviation;
        mean.variance = (1 - weight) * (mean.variance + weight * deviation * deviation);
    }

    /** Records the end of a request that this host sent. */
    recordFinished({ engine, tokens }: Pick<SentTokens, "engine" | "tokens">): void {
        const remaining = (this.#ownTokens.get(engine) ?? 0) - tokens;
        if (remaining > 0) {
            this.#ownTokens.set(engine, remaining);
        }
        else {
            this.#ownTokens.delete(engine);
        }
    }

    /** Returns the estimated tokens that an engine's requests hold once they have generated their outputs. */
    heldTokens({ engine, ownRequests, requests, service }: EngineRequests): number {
        const others = Math.max(0, requests - ownRequests);
        const mean = this.#means.get(service);
        const othersTokens = mean === undefined ? 0 : others * mean.tokens + Math.sqrt(others * mean.variance);
        return (this.#ownTokens.get(engine) ?? 0) + othersTokens;
    }
}
