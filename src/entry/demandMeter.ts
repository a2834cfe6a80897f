/**
 * How much work callers ask of each model.
 *
 * @module
 */

/** Work counts half as much after this time. */
const HALF_LIFE_MILLISECONDS = 1_000;

/** Demand below this is not told, in requests that run at once, and in engines that are kept busy. */
const LEAST_REQUESTS = 0.02;
const LEAST_ENGINES = 0.002;

/** Time that an engine spends on one token of work, until this host has measured a request. */
const FIRST_MILLISECONDS_PER_WORK = 10;

/** Least weight of one more measured request; of the first ones the mean is taken. */
const MEASUREMENT_WEIGHT = 0.05;

const FOUR_DIGITS = 10_000;

/** Work of a prompt token against that of an output token. */
const PROMPT_TOKEN_WORK = 0.1;

/**
 * Gives the work of a request from its token counts.
 *
 * @param tokenCount Prompt tokens and most output tokens, separated by a comma.
 */
export function workOf(tokenCount: string | undefined): number {
    const [prompt = 0, output = 0] = (tokenCount ?? "").split(",").map(Number);
    const work = prompt * PROMPT_TOKEN_WORK + output;
    return Number.isFinite(work) && work > 0 ? work : 1;
}

/** Gives the prompt tokens of a request from its token counts. */
export function promptTokensOf(tokenCount: string | undefined): number {
    const tokens = Number.parseInt(tokenCount ?? "", 10);
    return Number.isFinite(tokens) && tokens > 0 ? tokens : 0;
}

/**
 * Smooths the work that is asked of each model, and tells it as requests that would run at once.
 *
 * @example
 * ```ts
 * const demand = new DemandMeter();
 * demand.add("quotes", 320, now);
 * demand.noteRun(320, 2_900);
 * demand.concurrency(now); // { quotes: 2.01 }
 * ```
 */
export class DemandMeter {
    #millisecondsPerWork = FIRST_MILLISECONDS_PER_WORK;
    #runs = 0;
    readonly #work = new Map<string, { work: number; atMilliseconds: number; }>();

    add(model: string, work: number, nowMilliseconds: number): void {
        const entry = this.#work.get(model) ?? { work: 0, atMilliseconds: nowMilliseconds };
        entry.work = decay(entry, nowMilliseconds) + work;
        entry.atMilliseconds = nowMilliseconds;
        this.#work.set(model, entry);
    }

    /** Takes how long an engine ran a request. */
    recordRun(work: number, tookMilliseconds: number): void {
        this.#runs += 1;
        const weight = Math.max(MEASUREMENT_WEIGHT, 1 / this.#runs);
        this.#millisecondsPerWork += weight * (tookMilliseconds / work - this.#millisecondsPerWork);
    }

    /** Gives how many requests of each model would run at once if all were served. */
    concurrency(nowMilliseconds: number): Record<string, number> {
        return this.#busy(this.#millisecondsPerWork, LEAST_REQUESTS, nowMilliseconds);
    }

    /** Gives how many engines each model's work would keep busy that do so much of it in a millisecond. */
    busyEngines(workPerMillisecond: number, nowMilliseconds: number): Record<string, number> {
        return this.#busy(1 / workPerMillisecond, LEAST_ENGINES, nowMilliseconds);
    }

    #busy(millisecondsPerWork: number, least: number, nowMilliseconds: number): Record<string, number> {
        const demand: Record<string, number> = {};
        for (const [model, entry] of this.#work) {
            const workPerMillisecond = decay(entry, nowMilliseconds) * Math.LN2 / HALF_LIFE_MILLISECONDS;
            const busy = workPerMillisecond * millisecondsPerWork;
            if (busy >= least) {
                demand[model] = Math.round(busy * FOUR_DIGITS) / FOUR_DIGITS;
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
