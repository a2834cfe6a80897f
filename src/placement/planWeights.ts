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

/** Cost of a model without a copy, against the square of an engine's load as a share of its slots. */
const MISSING_COST = 0.25;

/** Further cost of a model without a copy that requests ask for. */
const MISSING_ASKED_COST = 0.35;

/** Cost of each engine's worth of requests that no copy can run, beside that a model has no copy at all. */
const UNSERVED_COST = 4.5;

/** Cost of each engine's worth of requests beyond what an engine can run at once. */
const OVERLOAD_COST = 4;

/** Load, as a share of an engine's slots, beyond which requests that come together make streams pause. */
const COMFORTABLE_LOAD = 0.4;

/** Weight of the square of the load beyond that. */
const CROWDED_WEIGHT = 4;

/** Cost of dropping a copy for each engine's worth of requests on it: the engine waits for them before it loads. */
const BUSY_DROP_COST = 0.5;

/** Least gain for which weights that are at hand are loaded. */
const LEAST_GAIN_AT_HAND = 0.08;

/** Least gain for which weights are loaded from the weight store. */
const LEAST_GAIN_FROM_STORE = 0.12;

/** Before there is traffic, each copy that engines began with stands for this load, as a share of an engine's slots. */
const PRIOR_LOAD_SHARE = 0.25;

/** Part of the engines that may be changing at once; a model that is dropped takes no requests until another is there. */
const CHANGING_SHARE = 0.25;

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
}

/** Which engine has which models, those that are being loaded included. */
type Placement = ReadonlyMap<string, ReadonlySet<string>>;

interface Fleet {
    readonly situation: WeightSituation;
    readonly definitions: ReadonlyMap<string, ModelDefinition>;
    /** Requests of each model that would run at once, as a share of an engine's slots. */
    readonly load: ReadonlyMap<string, number>;
    readonly placement: Placement;
}

function modelsOf(engine: PlannedEngine): Set<string> {
    return new Set(engine.loading === undefined ? engine.models : [...engine.models, engine.loading]);
}

function countCopies(placement: Placement): Map<string, number> {
    const copies = new Map<string, number>();
    for (const models of placement.values()) {
        models.forEach(model => copies.set(model, (copies.get(model) ?? 0) + 1));
    }
    return copies;
}

/** Before there is traffic, the copies that engines began with tell what is asked for. */
function loadOf({ demand, definition }: WeightSituation, copies: ReadonlyMap<string, number>): Map<string, number> {
    if (demand.size > 0) {
        return new Map([...demand].map(([model, requests]) => [model, requests / definition.slots]));
    }
    return new Map([...copies].map(([model, count]) => [model, count * PRIOR_LOAD_SHARE]));
}

/** Cost of a placement: engines with much load weigh more than in proportion, and so do models without a copy. */
function costOf(fleet: Fleet, placement: Placement): number {
    const copies = countCopies(placement);
    let cost = 0;
    for (const models of placement.values()) {
        let load = 0;
        models.forEach(model => {
            load += (fleet.load.get(model) ?? 0) / (copies.get(model) ?? 1);
        });
        cost += engineCostOf(load);
    }
    for (const name of fleet.definitions.keys()) {
        cost += copies.has(name) ? 0 : missingCostOf(fleet, name);
    }
    return cost;
}

/** Crowded streams pause and requests wait; what goes beyond an engine's slots is refused, which costs in proportion. */
function engineCostOf(load: number): number {
    const within = Math.min(1, load);
    const crowding = Math.max(0, within - COMFORTABLE_LOAD);
    return within * within + CROWDED_WEIGHT * crowding * crowding + OVERLOAD_COST * Math.max(0, load - 1);
}

function missingCostOf(fleet: Fleet, model: string): number {
    const load = fleet.load.get(model) ?? 0;
    return MISSING_COST + (load > 0 ? MISSING_ASKED_COST : 0) + UNSERVED_COST * load;
}

function dropCostOf(fleet: Fleet, dropped: readonly string[]): number {
    if (fleet.situation.demand.size === 0) {
        return 0;
    }
    const copies = countCopies(fleet.placement);
    const load = dropped.reduce((sum, model) => sum + (fleet.load.get(model) ?? 0) / (copies.get(model) ?? 1), 0);
    return load * BUSY_DROP_COST;
}

function replace(placement: Placement, engine: string, dropped: readonly string[], added: string): Placement {
    const models = new Set(placement.get(engine));
    dropped.forEach(model => models.delete(model));
    models.add(added);
    return new Map(placement).set(engine, models);
}

function adapterReserve({ adapterSlots, models }: EngineDefinition): number {
    return adapterSlots * Math.max(0, ...models.map(({ adapterMegabytes }) => adapterMegabytes));
}

function sizeOf(fleet: Fleet, model: string): number {
    return fleet.definitions.get(model)?.weightMegabytes ?? fleet.situation.definition.weightMegabytes;
}

function freeMegabytes(fleet: Fleet, engine: PlannedEngine): number {
    const { definition } = fleet.situation;
    const used = [...modelsOf(engine)].reduce((sum, model) => sum + sizeOf(fleet, model), 0);
    return definition.weightMegabytes - adapterReserve(definition) - used;
}

/** Ways to make room for a model: one other model alone where that is enough, or as many as it takes. */
function waysToMakeRoom(fleet: Fleet, engine: PlannedEngine, model: ModelDefinition): (readonly string[])[] {
    const missing = model.weightMegabytes - freeMegabytes(fleet, engine);
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

function bestMoveOn(
    fleet: Fleet,
    engine: PlannedEngine,
    model: ModelDefinition,
    costNow: number,
): Candidate | undefined {
    let best: Candidate | undefined;
    for (const dropped of waysToMakeRoom(fleet, engine, model)) {
        const costThen = costOf(fleet, replace(fleet.placement, engine.id, dropped, model.name));
        const gain = costNow - costThen - dropCostOf(fleet, dropped);
        if (gain > (best?.gain ?? 0)) {
            best = { engine, model, dropped, gain };
        }
    }
    return best;
}

/** Models that may want a copy: those without one, then those whose copies are the busiest. */
function candidateModels(fleet: Fleet): ModelDefinition[] {
    const copies = countCopies(fleet.placement);
    const perCopy = (name: string): number => (fleet.load.get(name) ?? 0) / Math.max(0.5, copies.get(name) ?? 0);
    const { models } = fleet.situation.definition;
    const wanted = models.filter(({ name }) => !copies.has(name) || perCopy(name) > 0);
    return wanted.sort((left, right) => perCopy(right.name) - perCopy(left.name)).slice(0, MOST_CANDIDATES);
}

function isWorthwhile({ engine, model, gain }: Candidate): boolean {
    return gain >= (engine.atHand.includes(model.name) ? LEAST_GAIN_AT_HAND : LEAST_GAIN_FROM_STORE);
}

/** The move that helps most, over all engines; equal ones are told apart by a hash. */
function bestMove(fleet: Fleet): Candidate | undefined {
    const costNow = costOf(fleet, fleet.placement);
    const { engines: all, passedOver } = fleet.situation;
    const idle = all.filter(({ id, loading }) => loading === undefined && !passedOver.has(id));
    const changing = all.filter(({ loading }) => loading !== undefined).length;
    const mayDrop = changing < Math.max(1, Math.floor(all.length * CHANGING_SHARE));
    let best: Candidate | undefined;
    for (const model of candidateModels(fleet)) {
        const ranked = rankByRendezvous(model.name, idle.map(({ id }) => id));
        const engines = [...idle].sort((left, right) => ranked.indexOf(left.id) - ranked.indexOf(right.id));
        for (const engine of engines.filter(engine => !engine.models.includes(model.name))) {
            const move = bestMoveOn(fleet, engine, model, costNow);
            const allowed = mayDrop || move?.dropped.length === 0;
            if (move !== undefined && allowed && isWorthwhile(move) && move.gain > (best?.gain ?? 0)) {
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
    const copies = countCopies(placement);
    const fleet: Fleet = {
        situation,
        definitions: new Map(situation.definition.models.map(model => [model.name, model])),
        load: loadOf(situation, copies),
        placement,
    };
    const best = bestMove(fleet);
    if (best === undefined) {
        return undefined;
    }
    const { dropped, engine, gain, model } = best;
    const reason = copies.has(model.name) ? "busy-copies" : "no-copy";
    return { engine: engine.id, model: model.name, dropped, reason, gain };
}
