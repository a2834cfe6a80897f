/**
 * Ranks the engines on which an adapter could be loaded.
 *
 * @module
 */
import { rankByRendezvous } from "../decision/index.js";

/** Load, as a share of its slots, from which an engine ranks behind less loaded ones. */
const BUSY_SHARE = 0.9;

/** An engine that holds the adapter's model. */
export interface AdapterCandidate {
    readonly id: string;
    /** Adapter slots that are free. */
    readonly freeSlots: number;
    /** Its requests as a share of its request slots. */
    readonly loadShare: number;
    /** True while it loads weights and accepts no orders. */
    readonly loading: boolean;
}

/**
 * Ranks engines for an adapter: engines that are not loading first, among them those that are not busy, among these
 * those with a free adapter slot. Ties are broken by rendezvous hashing, which is the same on every host, so that all
 * hosts prefer one engine for an adapter and the adapters of a model spread over its engines.
 *
 * @param adapter The adapter's name, qualified by its model.
 * @param engines Engines that hold the model.
 *
 * @example
 * ```ts
 * const [preferred] = rankAdapterCandidates("quotes/a3", engines);
 * ```
 */
export function rankAdapterCandidates(adapter: string, engines: readonly AdapterCandidate[]): string[] {
    const ranked = rankByRendezvous(adapter, engines.map(({ id }) => id));
    const byId = new Map(engines.map(engine => [engine.id, engine]));
    const penalty = (id: string): number => {
        const engine = byId.get(id);
        const loading = engine?.loading === true ? 4 : 0;
        const busy = (engine?.loadShare ?? 0) >= BUSY_SHARE ? 2 : 0;
        return loading + busy + ((engine?.freeSlots ?? 0) > 0 ? 0 : 1);
    };
    return ranked.sort((left, right) => penalty(left) - penalty(right));
}
