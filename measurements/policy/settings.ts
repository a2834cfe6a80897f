/**
 * Settings shared by all runs of the policy measurements.
 *
 * @module
 */
import { type Network } from "./runTypes.js";

export const SEEDS = Array.from({ length: 10 }, (_, index) => 100 + index);
/** Prompt tokens that each engine caches. */
export const CACHE_TOKENS = 30_000;
/** Delays and losses between hosts and engines. */
export const NETWORK: Network = {
    reportIntervalMilliseconds: 500,
    digestDelayMilliseconds: 1_000,
    suspectsDelayMilliseconds: 20,
    crashNoticeLoss: 0,
    cacheEventLoss: 0.1,
    engineRestartMilliseconds: 5_000,
};
