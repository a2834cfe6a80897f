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

/** Rounds of one plan at most; each takes into account what those before it have changed. */
const MOST_ROUNDS = 6;

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

/** Plans moves of which no two change the same engine or copies of the same model. */
function planRound(
    situation: WeightSituation,
    load: ReadonlyMap<string, number>,
    horizonMilliseconds: number,
): readonly WeightMove[] {
    const fleet = createFleet(situation, load, horizonMilliseconds);
    const together = new MovesTogether(fleet);
    const moves = worthwhileMoves(fleet, together.mayDropBusy);
    moves.sort(compareMoves).forEach(move => together.offer(move));
    return together.chosen.map(move => describeMove(fleet, move));
}

/** The situation once some moves have begun: what they drop is gone, and what they load is not there yet. */
function situationAfter(situation: WeightSituation, moves: readonly WeightMove[]): WeightSituation {
    const moveOf = new Map(moves.map(move => [move.engine, move]));
    const engines = situation.engines.map(engine => {
        const move = moveOf.get(engine.id);
        return move === undefined
            ? engine
            : { ...engine, loading: move.model, models: engine.models.filter(model => !move.dropped.includes(model)) };
    });
    return { ...situation, engines };
}

/**
 * Plans the next moves on the weights of all engines, so that load is spread and every model has a copy. They can begin
 * together: no two change the same engine, none drops what another loads, and the weight store hands them out at full
 * speed.
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
    const load = loadOf(situation, placementOf(situation, modelsOf));
    const planned: WeightMove[] = [];
    for (let round = 0; round < MOST_ROUNDS; round += 1) {
        const loaded = new Set(planned.map(({ model }) => model));
        const gone = new Set(planned.flatMap(({ dropped }) => dropped));
        const next = planRound(situationAfter(situation, planned), load, horizonMilliseconds)
            .filter(({ dropped, model }) => !gone.has(model) && !dropped.some(other => loaded.has(other)));
        if (next.length === 0) {
            break;
        }
        planned.push(...next);
    }
    return planned;
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
export function planWeights(
    situation: WeightSituation,
    horizonMilliseconds: number = HORIZON_MILLISECONDS,
): WeightMove | undefined {
    const load = loadOf(situation, placementOf(situation, modelsOf));
    return planRound(situation, load, horizonMilliseconds)[0];
}
