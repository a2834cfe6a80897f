/**
 * Room for weights on an engine.
 *
 * @module
 */
import { type EngineDefinition } from "../routes/index.js";

/** A model that the configuration does not name is taken to fill an engine. */
function sizeOf(definition: EngineDefinition, model: string): number {
    return definition.models.find(({ name }) => name === model)?.weightMegabytes ?? definition.weightMegabytes;
}

/** Kept free so that all places for adapters can be used. */
function adapterReserve({ adapterSlots, models }: EngineDefinition): number {
    return adapterSlots * Math.max(0, ...models.map(({ adapterMegabytes }) => adapterMegabytes));
}

/**
 * Gives the room for further weights beside those that an engine holds; negative where there is too little for its
 * adapters.
 *
 * @param definition What engines of the service are like.
 * @param models The models that the engine holds or may hold, each once.
 *
 * @example
 * ```ts
 * const mayLoad = freeMegabytes(definition, ["quotes"]) >= model.weightMegabytes;
 * ```
 */
export function freeMegabytes(definition: EngineDefinition, models: Iterable<string>): number {
    let used = adapterReserve(definition);
    for (const model of models) {
        used += sizeOf(definition, model);
    }
    return definition.weightMegabytes - used;
}
