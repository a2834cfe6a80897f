/**
 * Smoothed demand of each model and adapter.
 *
 * @module
 */
import { type DemandDigest } from "../generated/peers.js";

/** Time constant of the decay: the weight of past demand falls to 37 % in this time. */
export const DEMAND_SMOOTHING_MILLISECONDS = 15_000;

/** Smoothed rates of one model or adapter. */
export interface DemandRate {
    readonly arrivalsPerSecond: number;
    readonly missedPerSecond: number;
}

/** Counts demand with exponential decay, so that one burst is neither forgotten at once nor dominant. */
export interface DemandTracker {
    /** Adds the demand digests of one interval. */
    add(digests: readonly DemandDigest[], nowMilliseconds: number): void;
    /** Returns the rate of a model, or of one of its adapters. */
    rateOf(model: string, adapter: string | undefined, nowMilliseconds: number): DemandRate;
}

interface Counts {
    arrivals: number;
    missed: number;
    atMilliseconds: number;
}

function keyOf(model: string, adapter: string | undefined): string {
    return adapter === undefined ? model : `${model}:${adapter}`;
}

function decay(counts: Counts, nowMilliseconds: number): void {
    const factor = Math.exp(-Math.max(0, nowMilliseconds - counts.atMilliseconds) / DEMAND_SMOOTHING_MILLISECONDS);
    counts.arrivals *= factor;
    counts.missed *= factor;
    counts.atMilliseconds = nowMilliseconds;
}

/** Creates a tracker without demand. */
export function createDemandTracker(): DemandTracker {
    const countsByKey = new Map<string, Counts>();

    function count(key: string, digest: DemandDigest, nowMilliseconds: number): void {
        const counts = countsByKey.get(key) ?? { arrivals: 0, missed: 0, atMilliseconds: nowMilliseconds };
        decay(counts, nowMilliseconds);
        counts.arrivals += digest.arrivals;
        counts.missed += digest.missed;
        countsByKey.set(key, counts);
    }

    return {
        add(digests, nowMilliseconds) {
            for (const digest of digests) {
                count(digest.model, digest, nowMilliseconds);
                if (digest.adapter !== undefined) {
                    count(keyOf(digest.model, digest.adapter), digest, nowMilliseconds);
                }
            }
        },
        rateOf(model, adapter, nowMilliseconds) {
            const counts = countsByKey.get(keyOf(model, adapter));
            if (counts === undefined) {
                return { arrivalsPerSecond: 0, missedPerSecond: 0 };
            }
            decay(counts, nowMilliseconds);
            const seconds = DEMAND_SMOOTHING_MILLISECONDS / 1000;
            return { arrivalsPerSecond: counts.arrivals / seconds, missedPerSecond: counts.missed / seconds };
        },
    };
}
