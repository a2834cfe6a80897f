/**
 * How long an engine takes to load a model's weights.
 *
 * @module
 */
import { type ModelDefinition } from "../routes/index.js";

/** Weights at hand load in less than this share of the time from the store; the configuration gives no other. */
const AT_HAND_SHARE = 0.25;

/**
 * Gives the time until an engine has loaded a model.
 *
 * @param model What is loaded.
 * @param isAtHand True where the engine has the weights in its own memory or on its disk.
 *
 * @example
 * ```ts
 * expectedLoadMilliseconds({ ...model, storeLoadMilliseconds: 5_000 }, true); // 1,250
 * ```
 */
export function expectedLoadMilliseconds(
    model: Pick<ModelDefinition, "storeLoadMilliseconds">,
    isAtHand: boolean,
): number {
    return isAtHand ? model.storeLoadMilliseconds * AT_HAND_SHARE : model.storeLoadMilliseconds;
}
