/**
 * Room for weights on an engine.
 *
 * @module
 */
import { type EngineDefinition } from "../routes/index.js";

/** What is looked up of a definition for each engine and model. */
interface Sizes {
    readonly weightMegabytes: ReadonlyMap<string, number>;
    /** Kept free so that all places for adapters can be used. */
    readonly adapterReserveMegabytes: number;
}

const sizesOfDefinitions = new WeakMap<EngineDefinition, Sizes>();

function sizesOf(definition: EngineDefinition): Sizes {
    const known = sizesOfDefinitions.get(definition);
    if (known !== undefined) {
        return known;
    }
    const { adapterSlots, models } = definition;
    const sizes: Sizes = {
        weightMegabytes: new Map(models.map(({ name, weightMegabytes }) => [name, weightMegabytes])),
        adapterReserveMegabytes: adapterSlots * Math.max(0, ...models.map(({ adapterMegabytes }) => adapterMegabytes)),
    };
    sizesOfDefinitions.set(definition, sizes);
    return sizes;
}

/**
 * Gives the size of a model's weights; one that the configuration does not name is taken to fill an engine.
 *
 * @param definition What engines of the service are like.
 * @param model The model's name.
 *
 * @example
 * ```ts
 * weightMegabytesOf(definition, "quotes"); // 65,500
 * ```
 */
export function weightMegabytesOf(definition: EngineDefinition, model: string): number {
    return sizesOf(definition).weightMegabytes.get(model) ?? definition.weightMegabytes;
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
    let used = sizesOf(definition).adapterReserveMegabytes;
    for (const model of models) {
        used += weightMegabytesOf(definition, model);
    }
    return definition.weightMegabytes - used;
}
