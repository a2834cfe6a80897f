/**
 * Estimates how long an engine takes to load a model's weights.
 *
 * @module
 */
import { type ModelDefinition } from "../routes/index.js";

/** Upper bound for loading local weights, as a share of the time from the weight store; not in the configuration. */
const LOCAL_LOAD_SHARE = 0.25;

/**
 * Returns the expected time that an engine takes to load a model.
 *
 * @param model The model to load.
 * @param hasLocalWeights True where the engine has the weights in its host memory or on its disk.
 *
 * @example
 * ```ts
 * expectedLoadMilliseconds({ ...model, storeLoadMilliseconds: 5_000 }, true); // 1,250
 * ```
 */
export function expectedLoadMilliseconds(
    model: Pick<ModelDefinition, "storeLoadMilliseconds">,
    hasLocalWeights: boolean,
): number {
    return hasLocalWeights ? model.storeLoadMilliseconds * LOCAL_LOAD_SHARE : model.storeLoadMilliseconds;
}
