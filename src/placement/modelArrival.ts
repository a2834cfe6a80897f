/**
 * Estimates when a model that no engine holds becomes available.
 *
 * @module
 */
import { type ModelDefinition } from "../routes/index.js";
import { expectedLoadMilliseconds } from "./loadTime.js";

/** Time in which an engine has usually unloaded other models and received the order to load the new one. */
const PREPARATION_MILLISECONDS = 1_000;

/** Remaining time assumed for a load that exceeds its expected time, at every estimate until it ends. */
const OVERDUE_MILLISECONDS = 500;

/** Information on one engine for estimating when it could hold a model. */
export interface EngineProspect {
    /** True where the engine has the weights in its host memory or on its disk. */
    readonly hasLocalWeights: boolean;
    /** How long it has been making room for the model or loading it; `undefined` where it does neither. */
    readonly loadingForMilliseconds: number | undefined;
}

/**
 * Returns the expected time until the first engine holds a model. Where no engine loads it, the fastest one is assumed
 * to be ordered to.
 *
 * @param model The model.
 * @param engines All usable engines of its service.
 *
 * @example
 * ```ts
 * const loading = { hasLocalWeights: false, loadingForMilliseconds: 2_000 };
 * expectedArrivalMilliseconds({ storeLoadMilliseconds: 5_000 }, [loading]); // 4,000
 * ```
 */
export function expectedArrivalMilliseconds(
    model: Pick<ModelDefinition, "storeLoadMilliseconds">,
    engines: readonly EngineProspect[],
): number {
    const totalMilliseconds = ({ hasLocalWeights }: EngineProspect): number =>
        PREPARATION_MILLISECONDS + expectedLoadMilliseconds(model, hasLocalWeights);
    const loading = engines.flatMap(engine => {
        const { loadingForMilliseconds } = engine;
        return loadingForMilliseconds === undefined
            ? []
            : [Math.max(OVERDUE_MILLISECONDS, totalMilliseconds(engine) - loadingForMilliseconds)];
    });
    const notLoading = engines.map(totalMilliseconds);
    return Math.min(...loading.length > 0 ? loading : notLoading);
}
