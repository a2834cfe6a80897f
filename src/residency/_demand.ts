/**
 * Smoothed demand of each model and adapter.
 *
 * @module
 */
import { type DemandDigest } from "../generated/peers.js";

/** Time in which the weight of past demand falls to 37 in 100. */
export const DEMAND_SMOOTHING_MILLISECONDS = 15_000;

/** Smoothed rates of one model or adapter. */
export interface DemandRate {
    readonly arrivalsPerSecond: number;
    readonly missedPerSecond: number;
}

/** Keeps exponentially decaying counts, so that one burst neither vanishes nor dominates. */
export interface DemandTracker {
    /** Takes the digests of one interval in. */
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

/** Creates a tracker that has seen no demand. */
export function createDemandTracker(): DemandTracker {
    const known = new Map<string, Counts>();

    function count(key: string, digest: DemandDigest, nowMilliseconds: number): void {
        const counts = known.get(key) ?? { arrivals: 0, missed: 0, atMilliseconds: nowMilliseconds };
        decay(counts, nowMilliseconds);
        counts.arrivals += digest.arrivals;
        counts.missed += digest.missed;
        known.set(key, counts);
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
            const counts = known.get(keyOf(model, adapter));
            if (counts === undefined) {
                return { arrivalsPerSecond: 0, missedPerSecond: 0 };
            }
            decay(counts, nowMilliseconds);
            const seconds = DEMAND_SMOOTHING_MILLISECONDS / 1000;
            return { arrivalsPerSecond: counts.arrivals / seconds, missedPerSecond: counts.missed / seconds };
        },
    };
}
