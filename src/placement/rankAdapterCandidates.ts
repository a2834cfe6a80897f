/**
 * Which engine an adapter is loaded on.
 *
 * @module
 */
import { rankByRendezvous } from "../decision/index.js";

/** From this load on, as a share of its slots, an engine takes no further adapter while others are below. */
const BUSY_SHARE = 0.9;

/** An engine that holds the adapter's model. */
export interface AdapterCandidate {
    readonly id: string;
    readonly freeSlots: number;
    /** Its requests as a share of its slots. */
    readonly loadShare: number;
    /** True while it loads weights and takes no order. */
    readonly loading: boolean;
}

/**
 * Ranks engines for an adapter: those with room for one first, in an order that is the same on every host, so that an
 * adapter has one home and engines share the adapters of a model.
 *
 * @param adapter The adapter with its model.
 * @param engines Engines that hold the model.
 *
 * @example
 * ```ts
 * const [home] = rankAdapterHomes("quotes/a3", engines);
 * ```
 */
export function rankAdapterCandidates(adapter: string, engines: readonly AdapterCandidate[]): string[] {
    const ranked = rankByRendezvous(adapter, engines.map(({ id }) => id));
    const byId = new Map(engines.map(engine => [engine.id, engine]));
    const grade = (id: string): number => {
        const engine = byId.get(id);
        const loading = engine?.loading === true ? 4 : 0;
        const busy = (engine?.loadShare ?? 0) >= BUSY_SHARE ? 2 : 0;
        return loading + busy + ((engine?.freeSlots ?? 0) > 0 ? 0 : 1);
    };
    return ranked.sort((left, right) => grade(left) - grade(right));
}
