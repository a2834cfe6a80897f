/**
 * Plans which weights engines load or drop next.
 *
 * Every holder plans for all engines from the same view, finds the one move that helps most, and begins it where it falls
 * to an engine of its own. Two holders therefore do not load or drop the same model at once.
 *
 * @module
 */
import { rankByRendezvous } from "../decision/index.js";
import { type EngineDefinition, type ModelDefinition } from "../routes/index.js";
import { type Placement, PlacementCost } from "./_placementCost.js";
import { freeMegabytes } from "./engineRoom.js";

/** Cost of dropping a copy for each engine's worth of requests on it: the engine waits for them before it loads. */
const BUSY_DROP_COST = 0.5;

/** Least gain for which weights that are at hand are loaded. */
const LEAST_GAIN_AT_HAND = 0.08;

/** Least gain for which weights are loaded from the weight store. */
const LEAST_GAIN_FROM_STORE = 0.12;

/** Before there is traffic, each copy that engines began with stands for this load, as a share of an engine's slots. */
const PRIOR_LOAD_SHARE = 0.25;

/** Part of the engines that may be changing at once where busy models are dropped, which take no requests meanwhile. */
const CHANGING_SHARE = 0.25;

/** Load of a copy, as a share of an engine's slots, up to which nobody misses it while the engine changes. */
const IDLE_COPY_LOAD = 0.06;

/** Gain from which a model without a copy that serves takes a busy one's place, however many engines are changing. */
const URGENT_GAIN = 0.5;

/** What a gain is worth that comes only once weights have come from the store, against one of weights at hand. */
const FROM_STORE_WORTH = 0.8;

/** Requests that use all places for adapters weigh as much as requests on this share of an engine's slots. */
const FULL_ADAPTER_SLOTS_LOAD = 0.3;

/** Models that are considered for a further copy, the most loaded first; keeps the work small for many models. */
const MOST_CANDIDATES = 12;

/** One engine, as the plan sees it. */
export interface PlannedEngine {
    readonly id: string;
    readonly models: readonly string[];
    readonly loading: string | undefined;
    /** Models that it can load without the weight store. */
    readonly atHand: readonly string[];
}

/** What a plan is made from. */
export interface WeightSituation {
    /** All usable engines of the service. */
    readonly engines: readonly PlannedEngine[];
    readonly definition: EngineDefinition;
    /** Requests of each model that would run at once if all were served. */
    readonly demand: ReadonlyMap<string, number>;
    /** The part of these that name an adapter. */
    readonly adapterDemand: ReadonlyMap<string, number>;
    /** Engines that should take no step now, though their models count. */
    readonly passedOver: ReadonlySet<string>;
}

/** Loads one model on an engine after dropping others there. */
export interface WeightMove {
    readonly engine: string;
    readonly model: string;
    /** Models that make room, in the order in which they are dropped. */
    readonly dropped: readonly string[];
    /** Why, for the log. */
    readonly reason: "no-copy" | "busy-copies";
    /** How much better the placement becomes. */
    readonly gain: number;
}

/** A move that is being weighed. */
interface Candidate {
    readonly engine: PlannedEngine;
    readonly model: ModelDefinition;
    readonly dropped: readonly string[];
    readonly gain: number;
    /** The gain, less where it comes later. */
    readonly worth: number;
}

interface Fleet {
    readonly situation: WeightSituation;
    readonly definitions: ReadonlyMap<string, ModelDefinition>;
    readonly cost: PlacementCost;
}

function modelsOf(engine: PlannedEngine): Set<string> {
    return new Set(engine.loading === undefined ? engine.models : [...engine.models, engine.loading]);
}

/** Before there is traffic, the copies that engines began with tell what is asked for. */
function loadOf(situation: WeightSituation, placement: Placement): Map<string, number> {
    const { adapterDemand, demand, definition: { adapterSlots, slots } } = situation;
    if (demand.size > 0) {
        const adapterLoad = (model: string): number =>
            FULL_ADAPTER_SLOTS_LOAD * (adapterDemand.get(model) ?? 0) / Math.max(1, adapterSlots);
        return new Map([...demand].map(([model, requests]) => [model, Math.max(requests / slots, adapterLoad(model))]));
    }
    const load = new Map<string, number>();
    for (const models of placement.values()) {
        models.forEach(model => load.set(model, (load.get(model) ?? 0) + PRIOR_LOAD_SHARE));
    }
    return load;
}

function dropCostOf({ cost, situation }: Fleet, dropped: readonly string[]): number {
    if (situation.demand.size === 0) {
        return 0;
    }
    return dropped.reduce((sum, model) => sum + cost.loadOfCopy(model), 0) * BUSY_DROP_COST;
}

function sizeOf(fleet: Fleet, model: string): number {
    return fleet.definitions.get(model)?.weightMegabytes ?? fleet.situation.definition.weightMegabytes;
}

/** Ways to make room for a model: one other model alone where that is enough, or as many as it takes. */
function waysToMakeRoom(fleet: Fleet, engine: PlannedEngine, model: ModelDefinition): (readonly string[])[] {
    const missing = model.weightMegabytes - freeMegabytes(fleet.situation.definition, modelsOf(engine));
    if (missing <= 0) {
        return [[]];
    }
    const alone = engine.models.filter(other => sizeOf(fleet, other) >= missing).map(other => [other]);
    const pairs = engine.models.flatMap((first, index) =>
        engine.models.slice(index + 1)
            .filter(second => sizeOf(fleet, first) + sizeOf(fleet, second) >= missing)
            .map(second => [first, second])
    );
    return [...alone, ...pairs];
}

function isIdle({ cost }: Fleet, models: readonly string[]): boolean {
    return models.every(model => cost.loadOfCopy(model) <= IDLE_COPY_LOAD);
}

function bestMoveOn(
    fleet: Fleet,
    engine: PlannedEngine,
    model: ModelDefinition,
    mayDropBusy: boolean,
): Candidate | undefined {
    let best: Candidate | undefined;
    const isMissing = fleet.situation.engines.every(({ models }) => !models.includes(model.name));
    for (const dropped of waysToMakeRoom(fleet, engine, model)) {
        const gain = fleet.cost.gainOf(engine.id, model.name, dropped) - dropCostOf(fleet, dropped);
        const isUrgent = isMissing && gain >= URGENT_GAIN;
        if (gain > (best?.gain ?? 0) && (mayDropBusy || isUrgent || isIdle(fleet, dropped))) {
            const worth = engine.atHand.includes(model.name) ? gain : gain * FROM_STORE_WORTH;
            best = { engine, model, dropped, gain, worth };
        }
    }
    return best;
}

/** Models that may want a copy: those without one, then those whose copies are the busiest. */
function candidateModels(fleet: Fleet): ModelDefinition[] {
    const { cost, situation: { definition: { models } } } = fleet;
    const perCopy = (name: string): number => cost.loadOf(name) / Math.max(0.5, cost.copies(name));
    const wanted = models.filter(({ name }) => cost.copies(name) === 0 || perCopy(name) > 0);
    return wanted.sort((left, right) => perCopy(right.name) - perCopy(left.name)).slice(0, MOST_CANDIDATES);
}

function isWorthwhile({ engine, model, gain }: Candidate): boolean {
    return gain >= (engine.atHand.includes(model.name) ? LEAST_GAIN_AT_HAND : LEAST_GAIN_FROM_STORE);
}

/** The move that helps most, over all engines; equal ones are told apart by a hash. */
function bestMove(fleet: Fleet): Candidate | undefined {
    const { engines: all, passedOver } = fleet.situation;
    const idle = all.filter(({ id, loading }) => loading === undefined && !passedOver.has(id));
    const changing = all.filter(({ loading }) => loading !== undefined).length;
    const mayDropBusy = changing < Math.max(1, Math.floor(all.length * CHANGING_SHARE));
    let best: Candidate | undefined;
    for (const model of candidateModels(fleet)) {
        const ranked = rankByRendezvous(model.name, idle.map(({ id }) => id));
        const engines = [...idle].sort((left, right) => ranked.indexOf(left.id) - ranked.indexOf(right.id));
        for (const engine of engines.filter(engine => !engine.models.includes(model.name))) {
            const move = bestMoveOn(fleet, engine, model, mayDropBusy);
            if (move !== undefined && isWorthwhile(move) && move.worth > (best?.worth ?? 0)) {
                best = move;
            }
        }
    }
    return best;
}

/**
 * Plans the next move on the weights of all engines, so that load is spread and every model has a copy.
 *
 * A last copy is dropped only where that relieves engines of much more than the model's absence costs.
 *
 * @param situation All engines, what they hold, and the demand.
 * @returns The move and its engine; `undefined` where all should stay as it is.
 *
 * @example
 * ```ts
 * const move = planWeights({ engines, definition, demand, passedOver: new Set() });
 * if (move?.engine === "engine-3") {
 *     keeper.begin(move, now);
 * }
 * ```
 */
export function planWeights(situation: WeightSituation): WeightMove | undefined {
    const placement: Placement = new Map(situation.engines.map(engine => [engine.id, modelsOf(engine)]));
    const fleet: Fleet = {
        situation,
        definitions: new Map(situation.definition.models.map(model => [model.name, model])),
        cost: new PlacementCost(placement, loadOf(situation, placement)),
    };
    const best = bestMove(fleet);
    if (best === undefined) {
        return undefined;
    }
    const { dropped, engine, gain, model } = best;
    const reason = fleet.cost.copies(model.name) > 0 ? "busy-copies" : "no-copy";
    return { engine: engine.id, model: model.name, dropped, reason, gain };
}
