/**
 * Simulates several days and averages the results.
 *
 * @module
 */
import { DemandMeter } from "../../src/entry/index.js";
import { type DemandEstimate, simulatePlacement, type SimulationOptions } from "./placementSimulation.js";
import { type SimulatedSite } from "./simulatedSite.js";

/** Mean results over the simulated days. */
export interface MeanResult {
    readonly attainment: number;
    /** Standard error of the mean over days. */
    readonly error: number;
    /** Mean attainment of the request kind with the lowest one. */
    readonly worstKind: number;
    readonly refusals: number;
    readonly loadsFromStore: number;
}

function createDemand(): DemandEstimate {
    const meter = new DemandMeter();
    return {
        add: (model, work, now) => meter.add(model, work, now),
        recordRun: (work, tookMilliseconds) => meter.recordRun(work, tookMilliseconds),
        total: now => new Map(Object.entries(meter.concurrency(now))),
    };
}

function mean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/**
 * Simulates one day for each seed.
 *
 * @param options The site, the number of days, and the plan.
 *
 * @example
 * ```ts
 * const before = simulateDays({ site, seeds: 20, plan: planNoMoves });
 * const after = simulateDays({ site, seeds: 20, plan: planBestMove });
 * ```
 */
export function simulateDays(
    { plan, seeds, site }: {
        readonly site: SimulatedSite;
        readonly seeds: number;
        readonly plan: SimulationOptions["plan"];
    },
): MeanResult {
    const results = Array.from(
        { length: seeds },
        (_, index) => simulatePlacement({ site, seed: index + 1, plan, demand: createDemand() }),
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
