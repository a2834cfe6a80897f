/**
 * Plans which models engines load and unload next.
 *
 * @module
 */
import { ConcurrentMoves } from "./_concurrentMoves.js";
import {
    type CandidateMove,
    compareMoves,
    createPlanContext,
    type PlanContext,
    worthwhileMoves,
} from "./_moveEvaluation.js";
import { type PlacementInput, type PlacementMove } from "./placementInput.js";

/** Period over which the gain of a move is computed; demand changes after that. */
const HORIZON_MILLISECONDS = 12_000;

function describeMove(
    { cost }: PlanContext,
    { unload: { models: dropped }, engine, gain, model }: CandidateMove,
): PlacementMove {
    const reason = cost.copies(model.name) > 0 ? "busy-copies" : "no-copy";
    return { engine: engine.id, model: model.name, dropped, reason, gain };
}

/**
 * Plans the next moves on all engines, so that load is spread and every model has a copy. The moves can begin together:
 * no two change the same engine or copies of the same model, and the weight store can serve their loads at full speed.
 *
 * The last copy of a model is unloaded only where that reduces the load on engines by much more than the absence of the
 * model costs.
 *
 * @param input All engines, their models, and the demand.
 * @param horizonMilliseconds Period over which the gain is computed; a shorter one favours moves from local weights.
 * @returns The moves in order of decreasing gain; none where the placement should not change.
 *
 * @example
 * ```ts
 * const moves = planMoves(input);
 * moves.filter(({ engine }) => engine === "engine-3").forEach(move => managedEngine.beginMove(move, now));
 * ```
 */
export function planMoves(
    input: PlacementInput,
    horizonMilliseconds: number = HORIZON_MILLISECONDS,
): readonly PlacementMove[] {
    const context = createPlanContext(input, horizonMilliseconds);
    const concurrent = new ConcurrentMoves(context);
    const moves = worthwhileMoves(context, concurrent.mayUnloadBusy);
    moves.sort(compareMoves).forEach(move => concurrent.addIfCompatible(move));
    return concurrent.chosen.map(move => describeMove(context, move));
}

/**
 * Plans the one move with the highest gain.
 *
 * @param input All engines, their models, and the demand.
 * @param horizonMilliseconds Period over which the gain is computed.
 * @returns The move and its engine; `undefined` where the placement should not change.
 *
 * @example
 * ```ts
 * const move = planBestMove(input);
 * ```
 */
export function planBestMove(input: PlacementInput, horizonMilliseconds?: number): PlacementMove | undefined {
    return planMoves(input, horizonMilliseconds)[0];
}

/**
 * Plans the one move with the highest gain that loads a certain model.
 *
 * @param input All engines, their models, and the demand.
 * @param model The model to load.
 * @returns The move and its engine; `undefined` where no engine should load the model now.
 *
 * @example
 * ```ts
 * const move = planCopyOf(input, "quotes");
 * ```
 */
export function planCopyOf(input: PlacementInput, model: string): PlacementMove | undefined {
    const context = createPlanContext(input, HORIZON_MILLISECONDS);
    const concurrent = new ConcurrentMoves(context);
    const moves = worthwhileMoves(context, concurrent.mayUnloadBusy).filter(move => move.model.name === model);
    moves.sort(compareMoves).slice(0, 1).forEach(move => concurrent.addIfCompatible(move));
    return concurrent.chosen.map(move => describeMove(context, move))[0];
}
