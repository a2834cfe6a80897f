/**
 * Plans which weights engines load or drop next.
 *
 * @module
 */
import { MovesTogether } from "./_movesTogether.js";
import { type Placement } from "./_placementCost.js";
import {
    type Candidate,
    compareMoves,
    createFleet,
    type Fleet,
    modelsOf,
    placementOf,
    worthwhileMoves,
} from "./_weighMoves.js";
import { type WeightMove, type WeightSituation } from "./weightSituation.js";

/** How far ahead a move is judged; demand moves on after that. */
const HORIZON_MILLISECONDS = 12_000;

/** Before there is traffic, each copy on an engine stands for this load, as a share of an engine's slots. */
const PRIOR_LOAD_SHARE = 0.25;

/** Requests that use all places for adapters weigh as much as requests on this share of an engine's slots. */
const FULL_ADAPTER_SLOTS_LOAD = 0.3;

/** Before there is traffic, the copies that engines began with tell what is asked for. */
function loadOf(situation: WeightSituation, placement: Placement): Map<string, number> {
    const { adapterDemand, demand, definition: { adapterSlots, slots }, readingDemand } = situation;
    if (demand.size > 0) {
        const adapterLoad = (model: string): number =>
            FULL_ADAPTER_SLOTS_LOAD * (adapterDemand.get(model) ?? 0) / Math.max(1, adapterSlots);
        return new Map([...demand].map(([model, requests]) => {
            const readingLoad = readingDemand.get(model) ?? 0;
            return [model, Math.max(requests / slots, adapterLoad(model), readingLoad)];
        }));
    }
    const load = new Map<string, number>();
    for (const models of placement.values()) {
        models.forEach(model => load.set(model, (load.get(model) ?? 0) + PRIOR_LOAD_SHARE));
    }
    return load;
}

function describeMove({ cost }: Fleet, { drop: { dropped }, engine, gain, model }: Candidate): WeightMove {
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
    situation: WeightSituation,
    horizonMilliseconds: number = HORIZON_MILLISECONDS,
): readonly WeightMove[] {
    const fleet = createFleet(situation, loadOf(situation, placementOf(situation, modelsOf)), horizonMilliseconds);
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
export function planWeights(situation: WeightSituation, horizonMilliseconds?: number): WeightMove | undefined {
    return planMoves(situation, horizonMilliseconds)[0];
}
