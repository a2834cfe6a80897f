/**
 * Plays of placement: what callers get while a plan moves weights between engines.
 *
 * @example
 * ```ts
 * import { createPlayedSite, playDays } from "./index.js";
 *
 * const { attainment } = playDays({ site: createPlayedSite(SITES.largeWeights), seeds: 10, plan: planWeights });
 * ```
 *
 * @module
 */
export { planLeastAsked, planNothing } from "./baselines.js";
export { type PlayOptions, playPlacement, type PlayResult } from "./placementSimulation.js";
export { type DaysResult, playDays } from "./simulateDays.js";
export { createPlayedSite, type PlayedSite, type PlayedSiteOptions, SITES } from "./simulatedSite.js";
