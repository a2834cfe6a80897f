/**
 * Computes the gain of placement moves and selects those that are worthwhile.
 *
 * @module
 */
import { hashText } from "../decision/index.js";
import { type ModelDefinition } from "../routes/index.js";
import { loadOf } from "./_modelLoad.js";
import { type Placement, PlacementCost } from "./_placementCost.js";
import { freeMegabytes, weightMegabytesOf } from "./engineMemory.js";
import { expectedLoadMilliseconds } from "./loadTime.js";
import { type PlacementInput, type PlannedEngine } from "./placementInput.js";

/** Time in which an engine unloads models whose requests have to end first. */
const BUSY_UNLOAD_MILLISECONDS = 2_000;

/** Time in which an engine unloads models without requests and its holder learns of it. */
const IDLE_UNLOAD_MILLISECONDS = 400;

/** Minimum gain for which a model is loaded from local weights. */
const MINIMUM_GAIN_FROM_LOCAL_WEIGHTS = 0.08;

/** Minimum gain for which a model is loaded from the weight store. */
const MINIMUM_GAIN_FROM_STORE = 0.12;

/** Maximum load of a copy, as a share of an engine's slots, at which it can be unloaded without affecting service. */
const IDLE_COPY_LOAD = 0.06;

/** Minimum gain for which a model that no engine can serve replaces a busy one, however many engines are changing. */
const URGENT_GAIN = 0.2;

/** Maximum number of models considered for a further copy, most loaded first; bounds the work for many models. */
const MAXIMUM_BUSY_CANDIDATES = 12;

/** Maximum number of models without a copy considered, most in demand first; busy models do not displace them. */
const MAXIMUM_MISSING_CANDIDATES = 6;

/** A move under evaluation. */
export interface CandidateMove {
    readonly engine: PlannedEngine;
    readonly model: ModelDefinition;
    readonly unload: UnloadOption;
    readonly gain: number;
}

/** Models that an engine could unload to make room. */
export interface UnloadOption {
    /** In the order in which they are unloaded. */
    readonly models: readonly string[];
    readonly largestMegabytes: number;
    readonly totalMegabytes: number;
    /** Rise of the placement's cost without them. */
    readonly costIncrease: number;
    /** Rise of the cost until the new model is loaded, counting only serving copies; at least 0 and `costIncrease`. */
    readonly costIncreaseWhileLoading: number;
    /** True where no copy carries more than `IDLE_COPY_LOAD`. */
    readonly isIdle: boolean;
}

/** An engine that may begin a move, and the models that it could unload. */
interface ChangeableEngine {
    readonly engine: PlannedEngine;
    readonly freeMegabytes: number;
    readonly unloadOptions: readonly UnloadOption[];
}

/** Costs of the current placement. */
interface PlanCosts {
    readonly input: PlacementInput;
    /** With the models that are still loading. */
    readonly cost: PlacementCost;
    /** With the models that engines can serve now only. */
    readonly servingCost: PlacementCost;
}

/** Values that the evaluation of all moves shares. */
export interface PlanContext extends PlanCosts {
    readonly horizonMilliseconds: number;
    /** Computed once, since it is the same for each model that could be loaded. */
    readonly changeableEngines: readonly ChangeableEngine[];
}

/** Returns the models that an engine holds or is loading. */
export function modelsOf(engine: PlannedEngine): Set<string> {
    return new Set(engine.loading === undefined ? engine.models : [...engine.models, engine.loading]);
}

function placementOf(
    { engines }: PlacementInput,
    models: (engine: PlannedEngine) => Set<string>,
): Placement {
    return new Map(engines.map(engine => [engine.id, models(engine)]));
}

/** Returns the single models and pairs of models that an engine could unload. */
function unloadOptionsOf(
    engine: PlannedEngine,
    { cost, servingCost, input: { definition } }: PlanCosts,
): UnloadOption[] {
    const sizeOf = (model: string): number => weightMegabytesOf(definition, model);
    const unloadable = engine.models.filter(model => engine.keptModels?.includes(model) !== true);
    const pairs = unloadable.flatMap((first, index) => unloadable.slice(index + 1).map(second => [first, second]));
    return [...unloadable.map(model => [model]), ...pairs].map(models => {
        const sizes = models.map(sizeOf);
        const costIncrease = cost.lossOf(engine.id, models);
        return {
            models,
            largestMegabytes: Math.max(...sizes),
            totalMegabytes: sizes.reduce((sum, size) => sum + size, 0),
            costIncrease,
            costIncreaseWhileLoading: Math.max(0, costIncrease, servingCost.lossOf(engine.id, models)),
            isIdle: models.every(model => cost.loadOfCopy(model) <= IDLE_COPY_LOAD),
        };
    });
}

function describeChangeableEngine(engine: PlannedEngine, costs: PlanCosts): ChangeableEngine {
    const free = freeMegabytes(costs.input.definition, modelsOf(engine));
    return { engine, freeMegabytes: free, unloadOptions: unloadOptionsOf(engine, costs) };
}

/** Used where the engine has enough free memory. */
const NO_UNLOAD: UnloadOption = {
    models: [],
    largestMegabytes: 0,
    totalMegabytes: 0,
    costIncrease: 0,
    costIncreaseWhileLoading: 0,
    isIdle: true,
};

/**
 * Returns the options that make room for a model: single models that are large enough, and pairs of which neither model
 * is. Before there is traffic no demand shows that a copy is unneeded, so none is unloaded.
 */
function optionsToMakeRoom(
    { input }: PlanContext,
    { unloadOptions, freeMegabytes: free }: ChangeableEngine,
    model: ModelDefinition,
): readonly UnloadOption[] {
    const missingMegabytes = model.weightMegabytes - free;
    if (missingMegabytes <= 0) {
        return [NO_UNLOAD];
    }
    if (input.demand.size === 0) {
        return [];
    }
    return unloadOptions.filter(({ models, largestMegabytes, totalMegabytes }) =>
        totalMegabytes >= missingMegabytes && (models.length === 1 || largestMegabytes < missingMegabytes)
    );
}

/** Returns the part of the horizon that remains once the model is loaded; all of it before there is traffic. */
function servingShare(
    context: PlanContext,
    engine: PlannedEngine,
    model: ModelDefinition,
    unload: UnloadOption,
): number {
    if (context.input.demand.size === 0) {
        return 1;
    }
    const unloadMilliseconds = unload.isIdle ? IDLE_UNLOAD_MILLISECONDS : BUSY_UNLOAD_MILLISECONDS;
    const delayMilliseconds = (unload.models.length > 0 ? unloadMilliseconds : 0)
        + expectedLoadMilliseconds(model, engine.locallyStoredModels.includes(model.name));
    return Math.max(0, 1 - delayMilliseconds / context.horizonMilliseconds);
}

/**
 * Returns the gain of a move within the horizon. The unloaded models are missing from the start, even if another copy
 * is loading elsewhere; the new model serves only once it is loaded.
 */
function gainOf(context: PlanContext, engine: PlannedEngine, model: ModelDefinition, unload: UnloadOption): number {
    const share = servingShare(context, engine, model, unload);
    const gain = context.cost.gainOf(engine.id, model.name, unload.models);
    return (gain + unload.costIncrease) * share - unload.costIncreaseWhileLoading;
}

/** Returns whether a move is exempt from the limit on changing engines: high gain, and no serving copy of its model. */
export function isUrgent(
    { servingCost }: PlanContext,
    { gain, model }: Pick<CandidateMove, "gain" | "model">,
): boolean {
    return servingCost.copies(model.name) === 0 && gain >= URGENT_GAIN;
}

function bestMoveOn(
    context: PlanContext,
    changeable: ChangeableEngine,
    model: ModelDefinition,
    mayUnloadBusy: boolean,
): CandidateMove | undefined {
    const { engine } = changeable;
    let best: CandidateMove | undefined;
    for (const unload of optionsToMakeRoom(context, changeable, model)) {
        const gain = gainOf(context, engine, model, unload);
        const mayUnload = mayUnloadBusy || isUrgent(context, { model, gain }) || unload.isIdle;
        if (gain > (best?.gain ?? 0) && mayUnload) {
            best = { engine, model, unload, gain };
        }
    }
    return best;
}

/** Returns the models considered for a copy: those without one, and those whose copies are the busiest. */
function candidateModels(context: PlanContext): ModelDefinition[] {
    const { cost, input: { definition: { models } } } = context;
    const byLoad = [...models].sort((left, right) => cost.loadOfCopy(right.name) - cost.loadOfCopy(left.name));
    const missing = byLoad.filter(({ name }) => cost.copies(name) === 0);
    const busy = byLoad.filter(({ name }) => cost.copies(name) > 0 && cost.loadOf(name) > 0);
    return [...missing.slice(0, MAXIMUM_MISSING_CANDIDATES), ...busy.slice(0, MAXIMUM_BUSY_CANDIDATES)];
}

function isWorthwhile(
    { input: { enginesAtStoreLoadLimit } }: PlanContext,
    { engine, model, gain }: CandidateMove,
): boolean {
    if (engine.locallyStoredModels.includes(model.name)) {
        return gain >= MINIMUM_GAIN_FROM_LOCAL_WEIGHTS;
    }
    return gain >= MINIMUM_GAIN_FROM_STORE && !enginesAtStoreLoadLimit.has(engine.id);
}

/** Gains that differ by less count as equal: floating-point sums depend on the order of addition. */
const GAIN_STEP = 1e-9;

/** Orders moves by decreasing gain; a hash breaks ties, so that the result does not depend on the order of engines. */
export function compareMoves(left: CandidateMove, right: CandidateMove): number {
    const difference = Math.round((right.gain - left.gain) / GAIN_STEP);
    return difference === 0 ? tieBreakHashOf(right) - tieBreakHashOf(left) : difference;
}

function tieBreakHashOf({ engine, model }: CandidateMove): number {
    return hashText(`${model.name}/${engine.id}`);
}

function enginesThatMayChange({ engines, excludedEngines }: PlacementInput): PlannedEngine[] {
    return engines.filter(({ id, loading }) => loading === undefined && !excludedEngines.has(id));
}

/**
 * Returns the best move of each engine for each candidate model, where its gain reaches the minimum. Each is evaluated
 * independently of the others.
 *
 * @param context Values from `createPlanContext`.
 * @param mayUnloadBusy Whether further engines may unload models that carry load.
 */
export function worthwhileMoves(context: PlanContext, mayUnloadBusy: boolean): CandidateMove[] {
    return candidateModels(context).flatMap(model =>
        context.changeableEngines.flatMap(changeable => {
            const holds = changeable.engine.models.includes(model.name);
            const move = holds ? undefined : bestMoveOn(context, changeable, model, mayUnloadBusy);
            return move !== undefined && isWorthwhile(context, move) ? [move] : [];
        })
    );
}

/**
 * Computes the values that the evaluation of all moves shares.
 *
 * @param input All engines, their models, and the demand.
 * @param horizonMilliseconds Period over which the gain of moves is computed.
 */
export function createPlanContext(input: PlacementInput, horizonMilliseconds: number): PlanContext {
    const placement = placementOf(input, modelsOf);
    const load = loadOf(input, placement);
    const unavailable = new Map(input.engines.map(({ id, unavailableShare = 0 }) => [id, unavailableShare]));
    const costs: PlanCosts = {
        input,
        cost: new PlacementCost(placement, load, unavailable),
        servingCost: new PlacementCost(placementOf(input, ({ models }) => new Set(models)), load, unavailable),
    };
    const changeableEngines = enginesThatMayChange(input).map(engine => describeChangeableEngine(engine, costs));
    return { ...costs, horizonMilliseconds, changeableEngines };
}
