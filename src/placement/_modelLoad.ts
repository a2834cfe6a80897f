/**
 * The load that requests of each model put on engines.
 *
 * @module
 */
import { type Placement } from "./_placementCost.js";
import { type PlacementInput } from "./placementInput.js";

/** Load that each copy counts for before there is traffic, as a share of an engine's slots. */
const PRIOR_COPY_LOAD = 0.25;

/** Load that requests using all adapter slots of an engine count for, as a share of its request slots. */
const FULL_ADAPTER_SLOTS_LOAD = 0.3;

/**
 * Returns the load of each model, as a share of an engine's slots. Before there is traffic it is estimated from the
 * copies that engines started with.
 *
 * @param input The demand, and the properties of engines.
 * @param placement The models on each engine.
 */
export function loadOf(input: PlacementInput, placement: Placement): Map<string, number> {
    const { adapterDemand, demand, definition: { adapterSlots, slots }, prefillDemand } = input;
    if (demand.size > 0) {
        const adapterLoad = (model: string): number =>
            FULL_ADAPTER_SLOTS_LOAD * (adapterDemand.get(model) ?? 0) / Math.max(1, adapterSlots);
        return new Map([...demand].map(([model, requests]) => {
            const prefillLoad = prefillDemand.get(model) ?? 0;
            return [model, Math.max(requests / slots, adapterLoad(model), prefillLoad)];
        }));
    }
    const load = new Map<string, number>();
    for (const models of placement.values()) {
        models.forEach(model => load.set(model, (load.get(model) ?? 0) + PRIOR_COPY_LOAD));
    }
    return load;
}
