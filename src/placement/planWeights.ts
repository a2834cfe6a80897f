/**
 * Plans which weights engines load or drop next.
 *
 * @module
 */
import { hashText } from "../decision/index.js";
import { type EngineDefinition, type ModelDefinition } from "../routes/index.js";
import { type Placement, PlacementCost } from "./_placementCost.js";
import { freeMegabytes, weightMegabytesOf } from "./engineRoom.js";
import { expectedLoadMilliseconds } from "./loadTime.js";

/** How far ahead a move is judged; demand moves on after that. */
const HORIZON_MILLISECONDS = 12_000;

/** Time until an engine has dropped models whose requests have to end first. */
const BUSY_DROP_MILLISECONDS = 2_000;

/** Time until an engine has dropped models that nobody uses, and its holder knows. */
const IDLE_DROP_MILLISECONDS = 400;

/** Least gain for which weights that are at hand are loaded. */
const LEAST_GAIN_AT_HAND = 0.08;

/** Least gain for which weights are loaded from the weight store. */
const LEAST_GAIN_FROM_STORE = 0.12;

/** Before there is traffic, each copy on an engine stands for this load, as a share of an engine's slots. */
const PRIOR_LOAD_SHARE = 0.25;

/** Part of the engines that may be changing at once where busy models are dropped, which take no requests meanwhile. */
const CHANGING_SHARE = 0.25;

/** Load of a copy, as a share of an engine's slots, up to which nobody misses it while the engine changes. */
const IDLE_COPY_LOAD = 0.06;

/** Gain from which a model without a copy that serves takes a busy one's place, however many engines are changing. */
const URGENT_GAIN = 0.2;

/** Requests that use all places for adapters weigh as much as requests on this share of an engine's slots. */
const FULL_ADAPTER_SLOTS_LOAD = 0.3;

/** Models that are considered for a further copy, the most loaded first; keeps the work small for many models. */
const MOST_BUSY_CANDIDATES = 12;

/** Models without a copy that are considered, the most asked for first; busy models never keep them out. */
const MOST_MISSING_CANDIDATES = 6;

const MILLISECONDS_PER_SECOND = 1_000;

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
    /** Engines that reading the prompts of each model's requests would keep busy. */
    readonly readingDemand: ReadonlyMap<string, number>;
    /** Engines that should take no step now, though their models count. */
    readonly passedOver: ReadonlySet<string>;
    /** Engines that may begin no load from the weight store now. */
    readonly withoutStore: ReadonlySet<string>;
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
    readonly drop: Drop;
    readonly gain: number;
}

/** Models that an engine could drop together. */
interface Drop {
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

/** What an engine that may change could make room with. */
interface EngineProspects {
    readonly freeMegabytes: number;
    readonly drops: readonly Drop[];
}

interface PlanCosts {
    readonly situation: WeightSituation;
    /** Of what engines will hold once their loads have ended. */
    readonly cost: PlacementCost;
    /** Of what engines can serve now. */
    readonly servingCost: PlacementCost;
}

interface Fleet extends PlanCosts {
    readonly horizonMilliseconds: number;
    /** Of the engines that may change, looked up for each model that could be loaded there. */
    readonly prospects: ReadonlyMap<string, EngineProspects>;
}

function modelsOf(engine: PlannedEngine): Set<string> {
    return new Set(engine.loading === undefined ? engine.models : [...engine.models, engine.loading]);
}

function placementOf(
    { engines }: WeightSituation,
    models: (engine: PlannedEngine) => Set<string>,
): Placement {
    return new Map(engines.map(engine => [engine.id, models(engine)]));
}

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
    return { freeMegabytes: freeOnEngine, drops: dropsOf(engine, costs) };
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
    { prospects, situation }: Fleet,
    engine: PlannedEngine,
    model: ModelDefinition,
): readonly Drop[] {
    const prospect = prospects.get(engine.id);
    const missing = model.weightMegabytes - (prospect?.freeMegabytes ?? 0);
    if (missing <= 0) {
        return [NO_DROP];
    }
    if (situation.demand.size === 0) {
        return [];
    }
    return (prospect?.drops ?? []).filter(({ dropped, largestMegabytes, totalMegabytes }) =>
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
        + expectedLoadMilliseconds(model, engine.atHand.includes(model.name));
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
function isUrgent({ servingCost }: Fleet, { gain, model }: Pick<Candidate, "gain" | "model">): boolean {
    return servingCost.copies(model.name) === 0 && gain >= URGENT_GAIN;
}

function bestMoveOn(
    fleet: Fleet,
    engine: PlannedEngine,
    model: ModelDefinition,
    mayDropBusy: boolean,
): Candidate | undefined {
    let best: Candidate | undefined;
    for (const drop of waysToMakeRoom(fleet, engine, model)) {
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

function isWorthwhile({ situation: { withoutStore } }: Fleet, { engine, model, gain }: Candidate): boolean {
    if (engine.atHand.includes(model.name)) {
        return gain >= LEAST_GAIN_AT_HAND;
    }
    return gain >= LEAST_GAIN_FROM_STORE && !withoutStore.has(engine.id);
}

/** Loads are added up in any order; gains that differ by less are equal. */
const GAIN_STEP = 1e-9;

/** The best move first; equal moves are told apart by a hash, so that the order of engines does not matter. */
function compareMoves(left: Candidate, right: Candidate): number {
    const difference = Math.round((right.gain - left.gain) / GAIN_STEP);
    return difference === 0 ? hashOf(right) - hashOf(left) : difference;
}

function hashOf({ engine, model }: Candidate): number {
    return hashText(`${model.name}/${engine.id}`);
}

function enginesThatMayChange({ engines, passedOver }: WeightSituation): PlannedEngine[] {
    return engines.filter(({ id, loading }) => loading === undefined && !passedOver.has(id));
}

/** All moves that are worth making, alone. */
function worthwhileMoves(fleet: Fleet, mayDropBusy: boolean): Candidate[] {
    const idle = enginesThatMayChange(fleet.situation);
    return candidateModels(fleet).flatMap(model =>
        idle.flatMap(engine => {
            const holds = engine.models.includes(model.name);
            const move = holds ? undefined : bestMoveOn(fleet, engine, model, mayDropBusy);
            return move !== undefined && isWorthwhile(fleet, move) ? [move] : [];
        })
    );
}

/** Loads from the weight store that run at full speed together: what it hands out in the time of one. */
function mostStoreLoads({ loadsPerSecond, models }: EngineDefinition): number {
    const total = models.reduce((sum, { storeLoadMilliseconds }) => sum + storeLoadMilliseconds, 0);
    return Math.max(1, Math.ceil(loadsPerSecond * total / Math.max(1, models.length) / MILLISECONDS_PER_SECOND));
}

/** Rounds of one plan at most; each takes into account what those before it have changed. */
const MOST_ROUNDS = 6;

/** Keeps account of what may still begin beside what has begun. */
class MovesTogether {
    readonly chosen: Candidate[] = [];
    readonly #fleet: Fleet;
    readonly #engines = new Set<string>();
    readonly #models = new Set<string>();
    #storeLoadsLeft: number;
    #busyDropsLeft: number;

    constructor(fleet: Fleet) {
        this.#fleet = fleet;
        const { definition, engines } = fleet.situation;
        const changing = engines.filter(({ loading }) => loading !== undefined);
        const fromStore = changing.filter(({ atHand, loading }) => !atHand.includes(loading ?? ""));
        this.#storeLoadsLeft = mostStoreLoads(definition) - fromStore.length;
        this.#busyDropsLeft = Math.max(1, Math.floor(engines.length * CHANGING_SHARE)) - changing.length;
    }

    get mayDropBusy(): boolean {
        return this.#busyDropsLeft > 0;
    }

    /** Takes a move, unless it bears on what a better one changes, or too many begin already. */
    offer(move: Candidate): void {
        const { drop, engine, model } = move;
        const models = [model.name, ...drop.dropped];
        const isFromStore = !engine.atHand.includes(model.name);
        const dropsBusy = !drop.isIdle;
        const bearsOnOther = this.#engines.has(engine.id) || models.some(name => this.#models.has(name));
        const isTooMuch = (isFromStore && this.#storeLoadsLeft <= 0)
            || (dropsBusy && !isUrgent(this.#fleet, move) && this.#busyDropsLeft <= 0);
        if (bearsOnOther || isTooMuch) {
            return;
        }
        this.chosen.push(move);
        this.#engines.add(engine.id);
        models.forEach(name => this.#models.add(name));
        this.#storeLoadsLeft -= isFromStore ? 1 : 0;
        this.#busyDropsLeft -= dropsBusy ? 1 : 0;
    }
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
    const costs: PlanCosts = {
        situation,
        cost: new PlacementCost(placementOf(situation, modelsOf), load),
        servingCost: new PlacementCost(placementOf(situation, ({ models }) => new Set(models)), load),
    };
    const prospects = new Map(enginesThatMayChange(situation).map(engine => [engine.id, prospectsOf(engine, costs)]));
    const fleet: Fleet = { ...costs, horizonMilliseconds, prospects };
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
export function planWeights(situation: WeightSituation, horizonMilliseconds?: number): WeightMove | undefined {
    return planMoves(situation, horizonMilliseconds)[0];
}
