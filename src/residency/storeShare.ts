/**
 * Divides the weight store's limits among the pools.
 *
 * @module
 */
import { type Deployment } from "../generated/deployment.js";

/**
 * The part of the weight store's limits that one pool may use; the shares of all pools add up to at most the limits.
 */
export interface StoreShare {
    readonly loadsPerSecond: number;
    readonly concurrentLoads: number;
    readonly concurrentAdapterLoads: number;
}

interface WeightedPool {
    readonly name: string;
    readonly weight: number;
}

/** Divides whole units among pools by the largest remainder method, after one unit for each where there are enough. */
function splitUnits(units: number, weightedPools: readonly WeightedPool[]): ReadonlyMap<string, number> {
    const guaranteed = units >= weightedPools.length ? 1 : 0;
    const remainingUnits = units - guaranteed * weightedPools.length;
    const total = weightedPools.reduce((sum, { weight }) => sum + weight, 0);
    const quotas = weightedPools.map(({ name, weight }) => ({ name, quota: remainingUnits * weight / total }));
    const assigned = quotas.reduce((sum, { quota }) => sum + Math.floor(quota), 0);
    const byRemainder = [...quotas].sort((left, right) =>
        (right.quota % 1) - (left.quota % 1) || (left.name < right.name ? -1 : 1)
    );
    const roundedUp = new Set(byRemainder.slice(0, remainingUnits - assigned).map(({ name }) => name));
    return new Map(
        quotas.map(({ name, quota }) => [name, guaranteed + Math.floor(quota) + (roundedUp.has(name) ? 1 : 0)]),
    );
}

/**
 * Returns one pool's share of the weight store, in proportion to its number of engines.
 *
 * Rates are divided exactly and counts by the largest remainder method. Where there are more pools than concurrent
 * loads, some pools get none: no division within the limits serves every pool of such a configuration.
 *
 * @param deployment The deployment configuration.
 * @param pool Name of the pool.
 *
 * @example
 * ```ts
 * const share = shareOfWeightStore(deployment, "bag-llm");
 * ```
 */
export function shareOfWeightStore(deployment: Deployment, pool: string): StoreShare {
    const weightedPools = deployment.pools.map(({ name, engines }) => ({ name, weight: engines.length }));
    const total = weightedPools.reduce((sum, { weight }) => sum + weight, 0);
    const poolWeight = weightedPools.find(({ name }) => name === pool)?.weight ?? 0;
    const { loadsPerSecond, concurrentLoads, concurrentAdapterLoads } = deployment.weightStore;
    return {
        loadsPerSecond: loadsPerSecond * poolWeight / total,
        concurrentLoads: splitUnits(concurrentLoads, weightedPools).get(pool) ?? 0,
        concurrentAdapterLoads: splitUnits(concurrentAdapterLoads, weightedPools).get(pool) ?? 0,
    };
}
