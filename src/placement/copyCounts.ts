/**
 * Counts the copies of models that a move affects, for the log.
 *
 * @module
 */
import { type PlacementMove, type PlannedEngine } from "./placementInput.js";

/** Numbers of copies known to the planner when it decided on a move. */
export interface CopyCounts {
    /** Other engines that hold the move's model or load it. */
    readonly copies: number;
    /** Other engines that hold or load an unloaded model, the minimum over these models; `undefined` for none. */
    readonly copiesLeft: number | undefined;
}

function countOtherCopies(model: string, engines: readonly PlannedEngine[], engine: string): number {
    return engines.filter(({ id, loading, models }) => id !== engine && (models.includes(model) || loading === model))
        .length;
}

/**
 * Counts the other copies of the model that a move loads and of those that it unloads.
 *
 * @param move The move.
 * @param engines All engines, in the state that the plan was made from.
 *
 * @example
 * ```ts
 * const { copies, copiesLeft } = countCopies(move, engines);
 * ```
 */
export function countCopies(move: PlacementMove, engines: readonly PlannedEngine[]): CopyCounts {
    const remaining = move.dropped.map(model => countOtherCopies(model, engines, move.engine));
    return {
        copies: countOtherCopies(move.model, engines, move.engine),
        copiesLeft: remaining.length === 0 ? undefined : Math.min(...remaining),
    };
}
