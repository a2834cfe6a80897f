/**
 * Every engine's part of the loads that the weight store allows.
 *
 * @module
 */

/** Loads that the bound allows in a window beyond its rate. */
const EXTRA_LOADS = 3;

/** Kept free of these, since engines that join are known to some holders before others. */
const SPARE_LOADS = 1;

const MILLISECONDS_PER_SECOND = 1_000;

/** The bound on loads from the weight store over all engines. */
export interface StoreLoadBound {
    readonly windowMilliseconds: number;
    /** Loads in the window may exceed the weight store's rate by this factor. */
    readonly overage: number;
}

/**
 * Gives how many loads from the weight store one engine may begin in a window, so that all engines together stay within
 * the bound without their holders having to agree.
 *
 * @param loadsPerSecond The weight store's rate.
 * @param engineCount Engines that share it.
 * @param bound The window and how far it may be exceeded.
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
