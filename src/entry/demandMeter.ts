/**
 * Measures the demand for each model, as work that callers request.
 *
 * @module
 */

/** Half-life of the weight of a request's work. */
const HALF_LIFE_MILLISECONDS = 1_000;

/** Lower demand is not published; in concurrent requests, and in engines kept busy. */
const MINIMUM_REQUESTS = 0.02;
const MINIMUM_ENGINES = 0.002;

/** Assumed time that an engine spends on one token of work, until this host has measured a request. */
const INITIAL_MILLISECONDS_PER_WORK = 10;

/** Minimum weight of a newly measured request; the first ones weigh more, so that their mean is taken. */
const MINIMUM_MEASUREMENT_WEIGHT = 0.05;

const ROUNDING_FACTOR = 10_000;

/** Work of a prompt token relative to that of an output token. */
const PROMPT_TOKEN_WEIGHT = 0.1;

/**
 * Returns the work of a request, in output tokens; 1 where the counts are unusable.
 *
 * @param tokenCount Prompt tokens and maximum output tokens, separated by a comma.
 */
export function workOf(tokenCount: string | undefined): number {
    const [prompt = 0, output = 0] = (tokenCount ?? "").split(",").map(Number);
    const work = prompt * PROMPT_TOKEN_WEIGHT + output;
    return Number.isFinite(work) && work > 0 ? work : 1;
}

/** Returns the prompt tokens of a request from its token counts; 0 where the count is unusable. */
export function promptTokensOf(tokenCount: string | undefined): number {
    const tokens = Number.parseInt(tokenCount ?? "", 10);
    return Number.isFinite(tokens) && tokens > 0 ? tokens : 0;
}

/** Returns the tokens of a request's prompt and whole output from its token counts; 0 where they are unusable. */
export function totalTokensOf(tokenCount: string | undefined): number {
    const [prompt = 0, output = 0] = (tokenCount ?? "").split(",").map(Number);
    const tokens = prompt + output;
    return Number.isFinite(tokens) && tokens > 0 ? tokens : 0;
}

/**
 * Averages the work requested of each model with exponential decay, and expresses it as concurrent requests.
 *
 * @example
 * ```ts
 * const demand = new DemandMeter();
 * demand.add("quotes", 320, now);
 * demand.recordRun(320, 2_900);
 * demand.concurrency(now); // { quotes: 2.01 }
 * ```
 */
export class DemandMeter {
    #millisecondsPerWork = INITIAL_MILLISECONDS_PER_WORK;
    #measuredRuns = 0;
    readonly #work = new Map<string, { work: number; atMilliseconds: number; }>();

    add(model: string, work: number, nowMilliseconds: number): void {
        const entry = this.#work.get(model) ?? { work: 0, atMilliseconds: nowMilliseconds };
        entry.work = decay(entry, nowMilliseconds) + work;
        entry.atMilliseconds = nowMilliseconds;
        this.#work.set(model, entry);
    }

    /** Records how long an engine ran a request. */
    recordRun(work: number, tookMilliseconds: number): void {
        this.#measuredRuns += 1;
        const weight = Math.max(MINIMUM_MEASUREMENT_WEIGHT, 1 / this.#measuredRuns);
        this.#millisecondsPerWork += weight * (tookMilliseconds / work - this.#millisecondsPerWork);
    }

    /** Returns how many requests of each model would run concurrently if all were served. */
    concurrency(nowMilliseconds: number): Record<string, number> {
        return this.#busy(this.#millisecondsPerWork, MINIMUM_REQUESTS, nowMilliseconds);
    }

    /** Returns how many engines each model's work would keep busy, given an engine's work per millisecond. */
    busyEngines(workPerMillisecond: number, nowMilliseconds: number): Record<string, number> {
        return this.#busy(1 / workPerMillisecond, MINIMUM_ENGINES, nowMilliseconds);
    }

    #busy(millisecondsPerWork: number, minimum: number, nowMilliseconds: number): Record<string, number> {
        const demand: Record<string, number> = {};
        for (const [model, entry] of this.#work) {
            const workPerMillisecond = decay(entry, nowMilliseconds) * Math.LN2 / HALF_LIFE_MILLISECONDS;
            const busy = workPerMillisecond * millisecondsPerWork;
            if (busy >= minimum) {
                demand[model] = Math.round(busy * ROUNDING_FACTOR) / ROUNDING_FACTOR;
            }
            else {
                this.#work.delete(model);
            }
        }
        return demand;
    }
}

function decay(entry: { readonly work: number; readonly atMilliseconds: number; }, nowMilliseconds: number): number {
    return entry.work * 0.5 ** ((nowMilliseconds - entry.atMilliseconds) / HALF_LIFE_MILLISECONDS);
}
