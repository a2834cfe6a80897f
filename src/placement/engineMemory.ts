/**
 * Accelerator memory that weights need and that an engine has free.
 *
 * @module
 */
import { type EngineDefinition } from "../routes/index.js";

/** Sizes derived once from a definition, since they are looked up for each engine and model. */
interface MemorySizes {
    readonly weightMegabytes: ReadonlyMap<string, number>;
    /** Kept free so that all adapter slots can be used. */
    readonly adapterReserveMegabytes: number;
}

const sizesOfDefinitions = new WeakMap<EngineDefinition, MemorySizes>();

function sizesOf(definition: EngineDefinition): MemorySizes {
    const known = sizesOfDefinitions.get(definition);
    if (known !== undefined) {
        return known;
    }
    const { adapterSlots, models } = definition;
    const sizes: MemorySizes = {
        weightMegabytes: new Map(models.map(({ name, weightMegabytes }) => [name, weightMegabytes])),
        adapterReserveMegabytes: adapterSlots * Math.max(0, ...models.map(({ adapterMegabytes }) => adapterMegabytes)),
    };
    sizesOfDefinitions.set(definition, sizes);
    return sizes;
}

/**
 * Returns the size of a model's weights; a model missing from the configuration is assumed to fill an engine.
 *
 * @param definition Properties of the service's engines.
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
 * Returns the memory left for further weights after those that an engine holds; negative where these leave too little
 * for its adapters.
 *
 * @param definition Properties of the service's engines.
 * @param models The models that the engine holds or may hold, without duplicates.
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
