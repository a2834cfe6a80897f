/**
 * Weighs moves of weights: what each gains, and which are worth making.
 *
 * @module
 */
import { hashText } from "../decision/index.js";
import { type ModelDefinition } from "../routes/index.js";
import { loadOf } from "./_modelLoad.js";
import { type Placement, PlacementCost } from "./_placementCost.js";
import { freeMegabytes, weightMegabytesOf } from "./engineRoom.js";
import { expectedLoadMilliseconds } from "./loadTime.js";
import { type PlacementInput, type PlannedEngine } from "./placementInput.js";

/** Time until an engine has dropped models whose requests have to end first. */
const BUSY_DROP_MILLISECONDS = 2_000;

/** Time until an engine has dropped models that nobody uses, and its holder knows. */
const IDLE_DROP_MILLISECONDS = 400;

/** Least gain for which weights that are at hand are loaded. */
const LEAST_GAIN_AT_HAND = 0.08;

/** Least gain for which weights are loaded from the weight store. */
const LEAST_GAIN_FROM_STORE = 0.12;

/** Load of a copy, as a share of an engine's slots, up to which nobody misses it while the engine changes. */
const IDLE_COPY_LOAD = 0.06;

/** Gain from which a model without a copy that serves takes a busy one's place, however many engines are changing. */
const URGENT_GAIN = 0.2;

/** Models that are considered for a further copy, the most loaded first; keeps the work small for many models. */
const MOST_BUSY_CANDIDATES = 12;

/** Models without a copy that are considered, the most asked for first; busy models never keep them out. */
const MOST_MISSING_CANDIDATES = 6;

/** A move that is being weighed. */
export interface Candidate {
    readonly engine: PlannedEngine;
    readonly model: ModelDefinition;
    readonly drop: Drop;
    readonly gain: number;
}

/** Models that an engine could drop together. */
export interface Drop {
    /** In the order in which they are dropped. */
    readonly dropped: readonly string[];
    readonly largestMegabytes: number;
    readonly totalMegabytes: number;
    /** How much more the placement costs without them. */
    readonly lost: number;
    /** The same until what is loaded serves, with copies that serve now alone; at least 0. */
    readonly missed: number;
    /** True where nobody misses them while the engine changes. */
    readonly isIdle: boolean;
}

/** An engine that may change, and what it could make room with. */
interface EngineProspects {
    readonly engine: PlannedEngine;
    readonly freeMegabytes: number;
    readonly drops: readonly Drop[];
}

/** What placements cost in one situation. */
interface PlanCosts {
    readonly situation: PlacementInput;
    /** Of what engines will hold once their loads have ended. */
    readonly cost: PlacementCost;
    /** Of what engines can serve now. */
    readonly servingCost: PlacementCost;
}

/** What moves are weighed with. */
export interface Fleet extends PlanCosts {
    readonly horizonMilliseconds: number;
    /** Of all engines that may change; the same for each model that could be loaded there. */
    readonly prospects: readonly EngineProspects[];
}

/** Models that an engine holds or is about to hold. */
function modelsOf(engine: PlannedEngine): Set<string> {
    return new Set(engine.loading === undefined ? engine.models : [...engine.models, engine.loading]);
}

function placementOf(
    { engines }: PlacementInput,
    models: (engine: PlannedEngine) => Set<string>,
): Placement {
    return new Map(engines.map(engine => [engine.id, models(engine)]));
}

/** What one engine could drop, whatever it loads then. */
function dropsOf(engine: PlannedEngine, { cost, servingCost, situation: { definition } }: PlanCosts): Drop[] {
    const sizeOf = (model: string): number => weightMegabytesOf(definition, model);
    const pairs = engine.models.flatMap((first, index) =>
        engine.models.slice(index + 1).map(second => [first, second])
    );
    return [...engine.models.map(model => [model]), ...pairs].map(dropped => {
        const sizes = dropped.map(sizeOf);
        const lost = cost.lossOf(engine.id, dropped);
        return {
            dropped,
            largestMegabytes: Math.max(...sizes),
            totalMegabytes: sizes.reduce((sum, size) => sum + size, 0),
            lost,
            missed: Math.max(0, lost, servingCost.lossOf(engine.id, dropped)),
            isIdle: dropped.every(model => cost.loadOfCopy(model) <= IDLE_COPY_LOAD),
        };
    });
}

function prospectsOf(engine: PlannedEngine, costs: PlanCosts): EngineProspects {
    const freeOnEngine = freeMegabytes(costs.situation.definition, modelsOf(engine));
    return { engine, freeMegabytes: freeOnEngine, drops: dropsOf(engine, costs) };
}

/** Nothing is dropped where there is room. */
const NO_DROP: Drop = {
    dropped: [],
    largestMegabytes: 0,
    totalMegabytes: 0,
    lost: 0,
    missed: 0,
    isIdle: true,
};

/**
 * Ways to make room for a model: one other model alone where that is enough, else two. Before there is traffic nothing
 * speaks against the copies that engines began with, so none is dropped.
 */
function waysToMakeRoom(
    { situation }: Fleet,
    { drops, freeMegabytes: free }: EngineProspects,
    model: ModelDefinition,
): readonly Drop[] {
    const missing = model.weightMegabytes - free;
    if (missing <= 0) {
        return [NO_DROP];
    }
    if (situation.demand.size === 0) {
        return [];
    }
    return drops.filter(({ dropped, largestMegabytes, totalMegabytes }) =>
        totalMegabytes >= missing && (dropped.length === 1 || largestMegabytes < missing)
    );
}

/** Part of the horizon in which a model serves that is loaded now; all of it where nobody waits for anything yet. */
function servingShare(fleet: Fleet, engine: PlannedEngine, model: ModelDefinition, drop: Drop): number {
    if (fleet.situation.demand.size === 0) {
        return 1;
    }
    const dropping = drop.isIdle ? IDLE_DROP_MILLISECONDS : BUSY_DROP_MILLISECONDS;
    const waited = (drop.dropped.length > 0 ? dropping : 0)
        + expectedLoadMilliseconds(model, engine.locallyStoredModels.includes(model.name));
    return Math.max(0, 1 - waited / fleet.horizonMilliseconds);
}

/**
 * What a move gains within the horizon. What is dropped is missed from now on, also where another copy is on its way;
 * what is loaded serves once it is there.
 */
function gainOf(fleet: Fleet, engine: PlannedEngine, model: ModelDefinition, drop: Drop): number {
    const share = servingShare(fleet, engine, model, drop);
    const gain = fleet.cost.gainOf(engine.id, model.name, drop.dropped);
    return (gain + drop.lost) * share - drop.missed;
}

/** A model that nobody can serve, and that much is asked of, does not wait until other engines have changed. */
export function isUrgent({ servingCost }: Fleet, { gain, model }: Pick<Candidate, "gain" | "model">): boolean {
    return servingCost.copies(model.name) === 0 && gain >= URGENT_GAIN;
}

function bestMoveOn(
    fleet: Fleet,
    prospects: EngineProspects,
    model: ModelDefinition,
    mayDropBusy: boolean,
): Candidate | undefined {
    const { engine } = prospects;
    let best: Candidate | undefined;
    for (const drop of waysToMakeRoom(fleet, prospects, model)) {
        const gain = gainOf(fleet, engine, model, drop);
        const mayDrop = mayDropBusy || isUrgent(fleet, { model, gain }) || drop.isIdle;
        if (gain > (best?.gain ?? 0) && mayDrop) {
            best = { engine, model, drop, gain };
        }
    }
    return best;
}

/** Models that may want a copy: those without one, and those whose copies are the busiest. */
function candidateModels(fleet: Fleet): ModelDefinition[] {
    const { cost, situation: { definition: { models } } } = fleet;
    const byLoad = [...models].sort((left, right) => cost.loadOfCopy(right.name) - cost.loadOfCopy(left.name));
    const missing = byLoad.filter(({ name }) => cost.copies(name) === 0);
    const busy = byLoad.filter(({ name }) => cost.copies(name) > 0 && cost.loadOf(name) > 0);
    return [...missing.slice(0, MOST_MISSING_CANDIDATES), ...busy.slice(0, MOST_BUSY_CANDIDATES)];
}

function isWorthwhile(
    { situation: { enginesAtStoreLoadLimit: withoutStore } }: Fleet,
    { engine, model, gain }: Candidate,
): boolean {
    if (engine.locallyStoredModels.includes(model.name)) {
        return gain >= LEAST_GAIN_AT_HAND;
    }
    return gain >= LEAST_GAIN_FROM_STORE && !withoutStore.has(engine.id);
}

/** Loads are added up in any order; gains that differ by less are equal. */
const GAIN_STEP = 1e-9;

/** Puts the best move first; equal moves are told apart by a hash, so that the order of engines does not matter. */
export function compareMoves(left: Candidate, right: Candidate): number {
    const difference = Math.round((right.gain - left.gain) / GAIN_STEP);
    return difference === 0 ? hashOf(right) - hashOf(left) : difference;
}

function hashOf({ engine, model }: Candidate): number {
    return hashText(`${model.name}/${engine.id}`);
}

function enginesThatMayChange({ engines, excludedEngines: passedOver }: PlacementInput): PlannedEngine[] {
    return engines.filter(({ id, loading }) => loading === undefined && !passedOver.has(id));
}

/**
 * Gives all moves that are worth making, each for itself.
 *
 * @param fleet What they are weighed with.
 * @param mayDropBusy Whether further engines may drop models that requests use.
 */
export function worthwhileMoves(fleet: Fleet, mayDropBusy: boolean): Candidate[] {
    return candidateModels(fleet).flatMap(model =>
        fleet.prospects.flatMap(prospects => {
            const holds = prospects.engine.models.includes(model.name);
            const move = holds ? undefined : bestMoveOn(fleet, prospects, model, mayDropBusy);
            return move !== undefined && isWorthwhile(fleet, move) ? [move] : [];
        })
    );
}

/**
 * Works out what moves are weighed with, once for all of them.
 *
 * @param situation All engines, what they hold, and the demand.
 * @param horizonMilliseconds How far ahead moves are judged.
 */
export function createFleet(situation: PlacementInput, horizonMilliseconds: number): Fleet {
    const placement = placementOf(situation, modelsOf);
    const load = loadOf(situation, placement);
    const costs: PlanCosts = {
        situation,
        cost: new PlacementCost(placement, load),
        servingCost: new PlacementCost(placementOf(situation, ({ models }) => new Set(models)), load),
    };
    const prospects = enginesThatMayChange(situation).map(engine => prospectsOf(engine, costs));
    return { ...costs, horizonMilliseconds, prospects };
}
