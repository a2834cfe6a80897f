/**
 * Plans which weights an engine loads or drops next.
 *
 * Every holder plans for its own engine, from the same view of all engines. A ranking that all compute alike keeps two
 * holders from loading or dropping the same model at once.
 *
 * @module
 */
import { rankByRendezvous } from "../decision/index.js";
import { type EngineDefinition, type ModelDefinition } from "../routes/index.js";

/** A further copy is worth a load where each copy there is has this much more demand than an engine's fair share. */
const BUSY_COPY_SHARE = 0.5;

/** A copy is dropped for another model only where that one's copies have this many times the demand. */
const DROP_RATIO = 2;

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
    /** The engine that is planned for. */
    readonly engine: string;
    /** All usable engines of the service, that one included. */
    readonly engines: readonly PlannedEngine[];
    readonly definition: EngineDefinition;
    /** Work that callers ask of each model, in tokens a second. */
    readonly demand: ReadonlyMap<string, number>;
    /** False while the engine has used up its part of the weight store's rate. */
    readonly storeLoadAllowed: boolean;
}

/** The next step on an engine's weights. */
export interface WeightStep {
    readonly operation: "load" | "unload";
    readonly model: string;
    /** Why, for the log. */
    readonly reason: "no-copy" | "busy-copies" | "make-room";
}

interface Fleet {
    readonly situation: WeightSituation;
    readonly definitions: ReadonlyMap<string, ModelDefinition>;
    readonly totalDemand: number;
}

function holdersOf(fleet: Fleet, model: string): PlannedEngine[] {
    return fleet.situation.engines.filter(engine => engine.models.includes(model));
}

function copiesOf(fleet: Fleet, model: string): number {
    const loading = fleet.situation.engines.filter(engine => engine.loading === model && !engine.models.includes(model));
    return holdersOf(fleet, model).length + loading.length;
}

function demandOf(fleet: Fleet, model: string): number {
    return fleet.situation.demand.get(model) ?? 0;
}

/** Demand that each copy has to bear; without a copy, as if there were half of one. */
function pressureOf(fleet: Fleet, model: string, copies: number): number {
    return demandOf(fleet, model) / Math.max(copies, 0.5);
}

function adapterReserve({ adapterSlots, models }: EngineDefinition): number {
    return adapterSlots * Math.max(0, ...models.map(({ adapterMegabytes }) => adapterMegabytes));
}

function freeMegabytes(fleet: Fleet, engine: PlannedEngine): number {
    const { definition } = fleet.situation;
    const held = new Set([...engine.models, ...engine.loading === undefined ? [] : [engine.loading]]);
    const used = [...held].reduce(
        (sum, model) => sum + (fleet.definitions.get(model)?.weightMegabytes ?? definition.weightMegabytes),
        0,
    );
    return definition.weightMegabytes - adapterReserve(definition) - used;
}

/** Copies that the engine may drop: another engine keeps one, by a ranking that all holders share. */
function droppable(fleet: Fleet, engine: PlannedEngine): string[] {
    return engine.models.filter(model => {
        const holders = holdersOf(fleet, model).map(({ id }) => id);
        return holders.length > 1 && rankByRendezvous(model, holders)[0] !== engine.id;
    });
}

/** The copies to drop, least wanted first, so that the model fits; `undefined` where it cannot. */
function findRoom(fleet: Fleet, engine: PlannedEngine, model: ModelDefinition): string[] | undefined {
    let free = freeMegabytes(fleet, engine);
    const wantedPressure = pressureOf(fleet, model.name, copiesOf(fleet, model.name));
    const hasNoCopy = copiesOf(fleet, model.name) === 0;
    const candidates = droppable(fleet, engine)
        .map(name => ({ name, pressure: pressureOf(fleet, name, copiesOf(fleet, name) - 1) }))
        .filter(({ pressure }) => hasNoCopy || pressure * DROP_RATIO < wantedPressure)
        .sort((left, right) => left.pressure - right.pressure);
    const dropped: string[] = [];
    for (const { name } of candidates) {
        if (free >= model.weightMegabytes) {
            break;
        }
        dropped.push(name);
        free += fleet.definitions.get(name)?.weightMegabytes ?? 0;
    }
    return free >= model.weightMegabytes ? dropped : undefined;
}

/** Ranks the engines that could load a model: room first, then weights at hand, then a hash. */
function bestEngineFor(fleet: Fleet, model: ModelDefinition): string | undefined {
    const ranked = rankByRendezvous(model.name, fleet.situation.engines.map(({ id }) => id));
    const able = fleet.situation.engines.flatMap(engine => {
        if (engine.loading !== undefined || engine.models.includes(model.name)) {
            return [];
        }
        const dropped = findRoom(fleet, engine, model);
        if (dropped === undefined) {
            return [];
        }
        const atHand = engine.atHand.includes(model.name) ? 0 : 1;
        return [{ id: engine.id, order: [dropped.length === 0 ? 0 : 1, atHand, ranked.indexOf(engine.id)] }];
    });
    able.sort((left, right) => compareOrders(left.order, right.order));
    return able[0]?.id;
}

function compareOrders(left: readonly number[], right: readonly number[]): number {
    const at = left.findIndex((value, index) => value !== right[index]);
    return at === -1 ? 0 : (left[at] ?? 0) - (right[at] ?? 0);
}

/** Models that want a copy, the most pressing first. */
function wantedModels(fleet: Fleet): { readonly model: ModelDefinition; readonly reason: WeightStep["reason"]; }[] {
    const { definition, engines } = fleet.situation;
    const fairShare = fleet.totalDemand / Math.max(1, engines.length);
    const missing = definition.models.filter(({ name }) => copiesOf(fleet, name) === 0);
    const busy = definition.models.filter(({ name }) => {
        const copies = copiesOf(fleet, name);
        return copies > 0 && copies < engines.length
            && pressureOf(fleet, name, copies) > fairShare * BUSY_COPY_SHARE;
    });
    const byPressure = (left: ModelDefinition, right: ModelDefinition): number =>
        pressureOf(fleet, right.name, copiesOf(fleet, right.name))
        - pressureOf(fleet, left.name, copiesOf(fleet, left.name));
    return [
        ...missing.sort(byPressure).map(model => ({ model, reason: "no-copy" as const })),
        ...busy.sort(byPressure).map(model => ({ model, reason: "busy-copies" as const })),
    ];
}

/**
 * Plans the next step on an engine's weights: a model without a copy first, then a further copy of one whose copies
 * are the busiest. A copy is dropped only while another engine keeps one.
 *
 * @param situation All engines, what they hold, and the demand.
 * @returns The step; `undefined` where the engine should stay as it is.
 *
 * @example
 * ```ts
 * const step = planWeights({ engine: "engine-3", engines, definition, demand, storeLoadAllowed: true });
 * ```
 */
export function planWeights(situation: WeightSituation): WeightStep | undefined {
    const own = situation.engines.find(({ id }) => id === situation.engine);
    if (own === undefined || own.loading !== undefined) {
        return undefined;
    }
    const fleet: Fleet = {
        situation,
        definitions: new Map(situation.definition.models.map(model => [model.name, model])),
        totalDemand: [...situation.demand.values()].reduce((sum, demand) => sum + demand, 0),
    };
    for (const { model, reason } of wantedModels(fleet)) {
        if (bestEngineFor(fleet, model) !== own.id) {
            continue;
        }
        if (!situation.storeLoadAllowed && !own.atHand.includes(model.name)) {
            continue;
        }
        const dropped = findRoom(fleet, own, model)?.[0];
        return dropped === undefined
            ? { operation: "load", model: model.name, reason }
            : { operation: "unload", model: dropped, reason: "make-room" };
    }
    return undefined;
}
