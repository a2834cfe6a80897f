/**
 * How much work callers ask of each model.
 *
 * @module
 */

/** Work counts half as much after this time. */
const HALF_LIFE_MILLISECONDS = 1_500;

/** Demand below this is not told, in tokens a second. */
const LEAST_DEMAND = 1;

const MILLISECONDS_PER_SECOND = 1_000;

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

/**
 * Smooths the work that is asked of each model.
 *
 * @example
 * ```ts
 * const demand = new DemandMeter();
 * demand.add("quotes", 320, now);
 * demand.rates(now); // { quotes: 147.9 }
 * ```
 */
export class DemandMeter {
    readonly #work = new Map<string, { work: number; atMilliseconds: number; }>();

    add(model: string, work: number, nowMilliseconds: number): void {
        const entry = this.#work.get(model) ?? { work: 0, atMilliseconds: nowMilliseconds };
        entry.work = decay(entry, nowMilliseconds) + work;
        entry.atMilliseconds = nowMilliseconds;
        this.#work.set(model, entry);
    }

    /** Gives tokens a second for each model that is asked for. */
    rates(nowMilliseconds: number): Record<string, number> {
        const rates: Record<string, number> = {};
        for (const [model, entry] of this.#work) {
            const rate = decay(entry, nowMilliseconds) * Math.LN2 / (HALF_LIFE_MILLISECONDS / MILLISECONDS_PER_SECOND);
            if (rate >= LEAST_DEMAND) {
                rates[model] = Math.round(rate);
            }
            else {
                this.#work.delete(model);
            }
        }
        return rates;
    }
}

function decay(entry: { readonly work: number; readonly atMilliseconds: number; }, nowMilliseconds: number): number {
    return entry.work * 0.5 ** ((nowMilliseconds - entry.atMilliseconds) / HALF_LIFE_MILLISECONDS);
}
