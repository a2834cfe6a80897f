/**
 * When a model that no engine holds is expected.
 *
 * @module
 */
import { type ModelDefinition } from "../routes/index.js";
import { expectedLoadMilliseconds } from "./loadTime.js";

/** Time until an engine that begins on a model has dropped others, in most cases, and was ordered to load it. */
const PREPARATION_MILLISECONDS = 1_000;

/** A load that takes longer than it should is expected within this time, again and again. */
const OVERDUE_MILLISECONDS = 500;

/** What bears on when an engine could have a model. */
export interface EngineProspect {
    /** True where the engine has the weights in its own memory or on its disk. */
    readonly hasLocalWeights: boolean;
    /** Since when it has been making room for the model or loading it; `undefined` where it does neither. */
    readonly loadingForMilliseconds: number | undefined;
}

/**
 * Gives the time until the first engine is expected to have a model: of those that load it, or else of any engine, as
 * one will be told to load it.
 *
 * @param model The model.
 * @param engines All usable engines of its service.
 *
 * @example
 * ```ts
 * const loading = { isAtHand: false, loadingForMilliseconds: 2_000 };
 * expectedArrivalMilliseconds({ storeLoadMilliseconds: 5_000 }, [loading]); // 4,000
 * ```
 */
export function expectedArrivalMilliseconds(
    model: Pick<ModelDefinition, "storeLoadMilliseconds">,
    engines: readonly EngineProspect[],
): number {
    const needed = ({ hasLocalWeights: isAtHand }: EngineProspect): number =>
        PREPARATION_MILLISECONDS + expectedLoadMilliseconds(model, isAtHand);
    const loading = engines.flatMap(engine => {
        const { loadingForMilliseconds: passed } = engine;
        return passed === undefined ? [] : [Math.max(OVERDUE_MILLISECONDS, needed(engine) - passed)];
    });
    const untouched = engines.map(needed);
    return Math.min(...loading.length > 0 ? loading : untouched);
}
