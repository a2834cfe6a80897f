/**
 * Each engine's share of the loads that the weight store allows.
 *
 * @module
 */

/** Loads that the bound allows in a window in addition to its rate. */
const EXTRA_LOADS = 3;

/** Part of the extra loads kept in reserve, since some holders learn of a new engine later than others. */
const SPARE_LOADS = 1;

const MILLISECONDS_PER_SECOND = 1_000;

/** The bound on loads from the weight store over all engines. */
export interface StoreLoadBound {
    readonly windowMilliseconds: number;
    /** Factor by which loads in the window may exceed the weight store's rate. */
    readonly overage: number;
}

/**
 * Returns how many loads from the weight store one engine may begin in a window, so that all engines together stay
 * within the bound without coordination between their holders.
 *
 * @param loadsPerSecond The weight store's rate.
 * @param engineCount Engines that share it.
 * @param bound The window, and the factor by which the rate may be exceeded in it.
 *
 * @example
 * ```ts
 * const loads = storeLoadsPerEngine(1.4, 6, { windowMilliseconds: 5_000, overage: 1.1 }); // 1
 * ```
 */
export function storeLoadsPerEngine(loadsPerSecond: number, engineCount: number, bound: StoreLoadBound): number {
    const rate = loadsPerSecond * bound.windowMilliseconds / MILLISECONDS_PER_SECOND * bound.overage;
    return Math.max(1, Math.floor((rate + EXTRA_LOADS - SPARE_LOADS) / Math.max(1, engineCount)));
}
