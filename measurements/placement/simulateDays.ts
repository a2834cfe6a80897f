/**
 * Plays several days and averages what callers got.
 *
 * @module
 */
import { DemandMeter } from "../../src/entry/index.js";
import { type PlayedDemand, type PlayOptions, playPlacement } from "./placementSimulation.js";
import { type PlayedSite } from "./simulatedSite.js";

/** What callers got on average. */
export interface DaysResult {
    readonly attainment: number;
    /** Standard error of the mean over days. */
    readonly error: number;
    /** Of the kind of request that was served worst. */
    readonly worstKind: number;
    readonly refusals: number;
    readonly loadsFromStore: number;
}

function createDemand(): PlayedDemand {
    const meter = new DemandMeter();
    return {
        add: (model, work, now) => meter.add(model, work, now),
        noteRun: (work, took) => meter.recordRun(work, took),
        total: now => new Map(Object.entries(meter.concurrency(now))),
    };
}

function mean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/**
 * Plays one day for each seed.
 *
 * @param options The site, how many days, and the plan.
 *
 * @example
 * ```ts
 * const before = playDays({ site, seeds: 20, plan: planNothing });
 * const after = playDays({ site, seeds: 20, plan: planWeights });
 * ```
 */
export function playDays(
    { plan, seeds, site }: { readonly site: PlayedSite; readonly seeds: number; readonly plan: PlayOptions["plan"]; },
): DaysResult {
    const results = Array.from(
        { length: seeds },
        (_, index) => playPlacement({ site, seed: index + 1, plan, demand: createDemand() }),
    );
    const attainments = results.map(({ attainment }) => attainment);
    const attainment = mean(attainments);
    const variance = mean(attainments.map(value => (value - attainment) ** 2));
    const kinds = site.kinds.map(({ name }) => mean(results.map(result => result.attainmentOfKind[name] ?? 0)));
    return {
        attainment,
        error: Math.sqrt(variance / seeds),
        worstKind: Math.min(...kinds),
        refusals: mean(results.map(({ refusals }) => refusals)),
        loadsFromStore: mean(results.map(({ loadsFromStore }) => loadsFromStore)),
    };
}
