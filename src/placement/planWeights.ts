/**
 * Plans which weights engines load or drop next.
 *
 * @module
 */
import { MovesTogether } from "./_movesTogether.js";
import { type Candidate, compareMoves, createFleet, type Fleet, worthwhileMoves } from "./_weighMoves.js";
import { type PlacementInput, type PlacementMove } from "./placementInput.js";

/** How far ahead a move is judged; demand moves on after that. */
const HORIZON_MILLISECONDS = 12_000;

function describeMove({ cost }: Fleet, { drop: { dropped }, engine, gain, model }: Candidate): PlacementMove {
    const reason = cost.copies(model.name) > 0 ? "busy-copies" : "no-copy";
    return { engine: engine.id, model: model.name, dropped, reason, gain };
}

/**
 * Plans the next moves on the weights of all engines, so that load is spread and every model has a copy. They can begin
 * together: no two change the same engine or copies of the same model, and the weight store hands them out at full speed.
 *
 * A last copy is dropped only where that relieves engines of much more than the model's absence costs.
 *
 * @param situation All engines, what they hold, and the demand.
 * @param horizonMilliseconds How far ahead moves are judged: the shorter, the more it counts that weights are at hand.
 * @returns The moves, the best first; none where all should stay as it is.
 *
 * @example
 * ```ts
 * const moves = planMoves({ ...demands, engines, definition, passedOver: new Set(), withoutStore: new Set() });
 * moves.filter(({ engine }) => engine === "engine-3").forEach(move => keeper.begin(move, now));
 * ```
 */
export function planMoves(
    situation: PlacementInput,
    horizonMilliseconds: number = HORIZON_MILLISECONDS,
): readonly PlacementMove[] {
    const fleet = createFleet(situation, horizonMilliseconds);
    const together = new MovesTogether(fleet);
    const moves = worthwhileMoves(fleet, together.mayDropBusy);
    moves.sort(compareMoves).forEach(move => together.offer(move));
    return together.chosen.map(move => describeMove(fleet, move));
}

/**
 * Plans the one move that helps most.
 *
 * @param situation All engines, what they hold, and the demand.
 * @param horizonMilliseconds How far ahead moves are judged.
 * @returns The move and its engine; `undefined` where all should stay as it is.
 *
 * @example
 * ```ts
 * const move = planWeights({ ...demands, engines, definition, passedOver: new Set(), withoutStore: new Set() });
 * ```
 */
export function planWeights(situation: PlacementInput, horizonMilliseconds?: number): PlacementMove | undefined {
    return planMoves(situation, horizonMilliseconds)[0];
}
