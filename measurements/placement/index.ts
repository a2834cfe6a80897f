/**
 * Simulates placement: measures how well callers are served while a plan moves models between engines.
 *
 * @example
 * ```ts
 * import { createSimulatedSite, simulateDays, SITES } from "./index.js";
 *
 * const site = createSimulatedSite(SITES.largeWeights);
 * const { attainment } = simulateDays({ site, seeds: 10, plan: planBestMove });
 * ```
 *
 * @module
 */
export { planLeastRequested, planNoMoves } from "./baselines.js";
export { simulatePlacement, type SimulationOptions, type SimulationResult } from "./placementSimulation.js";
export { type MeanResult, simulateDays } from "./simulateDays.js";
export { createSimulatedSite, type SimulatedSite, type SimulatedSiteOptions, SITES } from "./simulatedSite.js";
