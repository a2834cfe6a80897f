/**
 * What a move does to the copies of models, for the log.
 *
 * @module
 */
import { type PlacementMove, type PlannedEngine } from "./placementInput.js";

/** The copies that whoever planned a move saw. */
export interface CopiesSeen {
    /** Engines that hold the model or load it. */
    readonly copies: number;
    /** Other engines that hold what the move drops, or load it: the fewest of what it drops. */
    readonly copiesLeft: number | undefined;
}

function copiesBeside(model: string, engines: readonly PlannedEngine[], engine: string): number {
    return engines.filter(({ id, loading, models }) => id !== engine && (models.includes(model) || loading === model))
        .length;
}

/**
 * Counts the copies that a move adds to, and those that it leaves of what it drops.
 *
 * @param move The move.
 * @param engines All engines, as the plan saw them.
 *
 * @example
 * ```ts
 * const { copies, copiesLeft } = countCopiesSeen(move, engines);
 * ```
 */
export function countCopiesSeen(move: PlacementMove, engines: readonly PlannedEngine[]): CopiesSeen {
    const left = move.dropped.map(model => copiesBeside(model, engines, move.engine));
    return {
        copies: copiesBeside(move.model, engines, move.engine),
        copiesLeft: left.length === 0 ? undefined : Math.min(...left),
    };
}
