/**
 * How much each model is asked for.
 *
 * @module
 */
import { type Placement } from "./_placementCost.js";
import { type PlacementInput } from "./placementInput.js";

/** Before there is traffic, each copy on an engine stands for this load, as a share of an engine's slots. */
const PRIOR_LOAD_SHARE = 0.25;

/** Requests that use all places for adapters weigh as much as requests on this share of an engine's slots. */
const FULL_ADAPTER_SLOTS_LOAD = 0.3;

/**
 * Gives the load of each model, as a share of an engine's slots. Before there is traffic, the copies that engines began
 * with tell what is asked for.
 *
 * @param situation The demand, and what engines are like.
 * @param placement What engines hold.
 */
export function loadOf(situation: PlacementInput, placement: Placement): Map<string, number> {
    const { adapterDemand, demand, definition: { adapterSlots, slots }, prefillDemand: readingDemand } = situation;
    if (demand.size > 0) {
        const adapterLoad = (model: string): number =>
            FULL_ADAPTER_SLOTS_LOAD * (adapterDemand.get(model) ?? 0) / Math.max(1, adapterSlots);
        return new Map([...demand].map(([model, requests]) => {
            const readingLoad = readingDemand.get(model) ?? 0;
            return [model, Math.max(requests / slots, adapterLoad(model), readingLoad)];
        }));
    }
    const load = new Map<string, number>();
    for (const models of placement.values()) {
        models.forEach(model => load.set(model, (load.get(model) ?? 0) + PRIOR_LOAD_SHARE));
    }
    return load;
}
