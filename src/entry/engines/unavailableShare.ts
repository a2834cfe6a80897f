/**
 * The share of an engine's slots that its rate limit leaves unused.
 *
 * @module
 */

const MILLISECONDS_PER_SECOND = 1_000;

/** An engine's slots, its limit, and how long a request occupies a slot; `undefined` where not known. */
export interface SlotUse {
    readonly slots: number;
    readonly requestsPerSecond: number | undefined;
    readonly meanRunMilliseconds: number | undefined;
}

/**
 * Returns the share of an engine's slots that stays free while it gets no more requests than its limit allows.
 *
 * @returns A share from 0 to 1; 0 where there is no limit or no request was measured yet.
 *
 * @example
 * ```ts
 * unavailableShare({ slots: 8, requestsPerSecond: 4, meanRunMilliseconds: 500 }); // 0.75
 * ```
 */
export function unavailableShare({ meanRunMilliseconds, requestsPerSecond, slots }: SlotUse): number {
    if (requestsPerSecond === undefined || meanRunMilliseconds === undefined) {
        return 0;
    }
    const usedSlots = requestsPerSecond * meanRunMilliseconds / MILLISECONDS_PER_SECOND;
    return 1 - Math.min(1, usedSlots / Math.max(1, slots));
}
