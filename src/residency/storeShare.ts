/**
 * This pool's share of the weight store's limits.
 *
 * @module
 */
import { type Deployment } from "../generated/deployment.js";

/** The part of the weight store's limits that one pool may use; the shares of all pools never exceed the limits. */
export interface StoreShare {
    readonly loadsPerSecond: number;
    readonly concurrentLoads: number;
    readonly concurrentAdapterLoads: number;
}

interface Weighed {
    readonly name: string;
    readonly weight: number;
}

/** Splits whole units over names by largest remainder, after one unit each where there are enough. */
function splitUnits(units: number, weighed: readonly Weighed[]): ReadonlyMap<string, number> {
    const first = units >= weighed.length ? 1 : 0;
    const rest = units - first * weighed.length;
    const total = weighed.reduce((sum, { weight }) => sum + weight, 0);
    const quotas = weighed.map(({ name, weight }) => ({ name, quota: rest * weight / total }));
    const whole = quotas.reduce((sum, { quota }) => sum + Math.floor(quota), 0);
    const byRemainder = [...quotas].sort((left, right) =>
        (right.quota % 1) - (left.quota % 1) || (left.name < right.name ? -1 : 1)
    );
    const lucky = new Set(byRemainder.slice(0, rest - whole).map(({ name }) => name));
    return new Map(quotas.map(({ name, quota }) => [name, first + Math.floor(quota) + (lucky.has(name) ? 1 : 0)]));
}

/**
 * Works out one pool's share of the weight store, by its number of engines.
 *
 * Rates are split exactly and counts by largest remainder. Where there are more pools than loads at once, some pools
 * get none: such a text can't be made true within the limits.
 *
 * @param deployment The operators' text.
 * @param pool Name of the pool.
 *
 * @example
 * ```ts
 * const share = shareOfWeightStore(deployment, "bag-llm");
 * ```
 */
export function shareOfWeightStore(deployment: Deployment, pool: string): StoreShare {
    const weighed = deployment.pools.map(({ name, engines }) => ({ name, weight: engines.length }));
    const total = weighed.reduce((sum, { weight }) => sum + weight, 0);
    const own = weighed.find(({ name }) => name === pool)?.weight ?? 0;
    const { loadsPerSecond, concurrentLoads, concurrentAdapterLoads } = deployment.weightStore;
    return {
        loadsPerSecond: loadsPerSecond * own / total,
        concurrentLoads: splitUnits(concurrentLoads, weighed).get(pool) ?? 0,
        concurrentAdapterLoads: splitUnits(concurrentAdapterLoads, weighed).get(pool) ?? 0,
    };
}
