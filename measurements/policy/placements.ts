/**
 * Placement policies for the engine models: performs loads at the weight store's rate and evictions that never remove a
 * model's last copy, and counts both.
 *
 * @module
 */
import { type Deployment } from "../../src/generated/deployment.js";
import {
    DEMAND_SMOOTHING_MILLISECONDS,
    type PlacementEngine,
    type PlacementModel,
    type PlacementOptions,
    type PlannedAction,
    planPlacement,
    SETTLING_MILLISECONDS,
} from "../../src/residency/index.js";
import { type HostsRun } from "./hostsRun.js";
import { isWithinTarget } from "./summary.js";

const PLAN_INTERVAL_MILLISECONDS = 1_000;
const NEWEST_DEMAND_WEIGHT = 1 - Math.exp(-PLAN_INTERVAL_MILLISECONDS / DEMAND_SMOOTHING_MILLISECONDS);

/** Input of a placement policy for one pool. */
export interface PoolView {
    readonly engines: readonly PlacementEngine[];
    readonly models: readonly PlacementModel[];
    /** When each model was last requested. */
    readonly lastRequestedAtMilliseconds: ReadonlyMap<string, number>;
}

/** Returns the loads and evictions to perform now. */
export type PlanMoves = (view: PoolView) => readonly PlannedAction[];

/** Returns no actions. */
export const planNoMoves: PlanMoves = () => [];

/** Creates a plan with the placement planner of the residency decision. */
export function createResidencyPlan(options: PlacementOptions): PlanMoves {
    return ({ engines, models }) => planPlacement({ engines, models, adapters: [] }, options).actions;
}

/** Loads a further copy of the model that missed the most targets, in place of the least recently requested spare copy. */
export const planLeastRecentlyUsed: PlanMoves = (
    { engines, lastRequestedAtMilliseconds: lastRequestedAtMilliseconds, models },
) => {
    const missed = models.filter(model => model.missedPerSecond > 0);
    missed.sort((left, right) => right.missedPerSecond - left.missedPerSecond);
    const wanted = missed[0];
    if (wanted === undefined || engines.some(engine => engine.copies.some(copy => copy.state === "loading"))) {
        return [];
    }
    const countCopies = (name: string): number =>
        engines.filter(engine => engine.copies.some(copy => copy.name === name)).length;
    const candidates = engines.filter(engine => !engine.copies.some(copy => copy.name === wanted.name)).flatMap(
        engine => engine.copies.filter(copy => countCopies(copy.name) > 1).map(copy => ({ engine, copy })),
    );
    candidates.sort((left, right) =>
        (lastRequestedAtMilliseconds.get(left.copy.name) ?? 0) - (lastRequestedAtMilliseconds.get(right.copy.name) ?? 0)
    );
    const leastRecent = candidates[0];
    if (leastRecent === undefined) {
        return [];
    }
    const { engine: { engine }, copy } = leastRecent;
    const { megabytes, name, version } = wanted;
    const move = { engine, megabytes, reason: "least recently used", isMove: true, version };
    return [{ ...move, action: "evict", name: copy.name }, { ...move, action: "load", name }];
};

interface Copy {
    readonly name: string;
    state: "proved" | "loading";
    readonly loadedAtMilliseconds: number;
}

/** Applies one placement policy to a run. */
export class PlacementRun {
    /** Loads and evictions so far. */
    moves = 0;
    readonly #run: HostsRun;
    readonly #deployment: Deployment;
    readonly #plan: PlanMoves;
    readonly #copies = new Map<string, Copy[]>();
    readonly #rates = new Map<string, { arrivals: number; missed: number; }>();
    #countedRecords = 0;
    #openLoads = 0;

    constructor(run: HostsRun, deployment: Deployment, plan: PlanMoves) {
        this.#run = run;
        this.#deployment = deployment;
        this.#plan = plan;
        for (const engine of deployment.pools.flatMap(pool => pool.engines)) {
            const names = run.modelsOn(engine.name);
            this.#copies.set(engine.name, names.map(name => ({ name, state: "proved", loadedAtMilliseconds: 0 })));
        }
        run.events.schedule(PLAN_INTERVAL_MILLISECONDS, () => this.#planNext());
    }

    #planNext(): void {
        const lastRequested = this.#measureDemand();
        for (const pool of this.#deployment.pools) {
            this.#applyActions(this.#plan(this.#describePool(pool.name, lastRequested)));
        }
        this.#run.events.schedule(PLAN_INTERVAL_MILLISECONDS, () => this.#planNext());
    }

    /** Smooths arrivals and misses of the requests since the last plan; returns when each model was last requested. */
    #measureDemand(): Map<string, number> {
        const records = [...this.#run.records.values()];
        const newRecords = records.slice(this.#countedRecords);
        this.#countedRecords = records.length;
        for (const { name } of this.#deployment.models) {
            const modelRecords = newRecords.filter(record => record.arrival.request.model === name);
            const missed = modelRecords.filter(record =>
                record.refusal !== undefined
                || (record.finishedAtMilliseconds !== undefined && !isWithinTarget(record, this.#deployment))
            );
            const rate = this.#rates.get(name) ?? { arrivals: 0, missed: 0 };
            rate.arrivals += (modelRecords.length - rate.arrivals) * NEWEST_DEMAND_WEIGHT;
            rate.missed += (missed.length - rate.missed) * NEWEST_DEMAND_WEIGHT;
            this.#rates.set(name, rate);
        }
        return new Map(records.map(record => [record.arrival.request.model, record.arrival.atMilliseconds]));
    }

    #describePool(name: string, lastRequestedAtMilliseconds: ReadonlyMap<string, number>): PoolView {
        const pool = this.#deployment.pools.find(each => each.name === name);
        const models = this.#deployment.models.filter(model => model.pools.includes(name));
        return {
            lastRequestedAtMilliseconds: lastRequestedAtMilliseconds,
            engines: (pool?.engines ?? []).map(engine => this.#describeEngine(engine.name, pool?.memoryMegabytes ?? 0)),
            models: models.map(model => ({
                name: model.name,
                version: model.version,
                megabytes: model.megabytes,
                minimumCopies: model.minimumCopies,
                arrivalsPerSecond: this.#rates.get(model.name)?.arrivals ?? 0,
                missedPerSecond: this.#rates.get(model.name)?.missed ?? 0,
            })),
        };
    }

    #describeEngine(engine: string, memoryMegabytes: number): PlacementEngine {
        const megabytesOf = (name: string): number =>
            this.#deployment.models.find(model => model.name === name)?.megabytes ?? 0;
        const copies = (this.#copies.get(engine) ?? []).map(copy => ({
            name: copy.name,
            version: "1",
            megabytes: megabytesOf(copy.name),
            state: copy.state,
            clearable: copy.state === "proved",
            isSettling: this.#run.events.now() - copy.loadedAtMilliseconds < SETTLING_MILLISECONDS
                && copy.loadedAtMilliseconds > 0,
        }));
        const freeMegabytes = memoryMegabytes - copies.reduce((sum, copy) => sum + copy.megabytes, 0);
        return {
            engine,
            zone: "zone-1",
            usable: true,
            freeMegabytes,
            copies,
            grants: [],
            modelsWithFailedLoad: new Set(),
        };
    }

    /** Evicts before loading, and limits concurrent loads to those that the weight store serves at full speed. */
    #applyActions(actions: readonly PlannedAction[]): void {
        const { concurrentLoads, loadsPerSecond } = this.#deployment.weightStore;
        const loads = actions.filter(action => action.action === "load");
        for (const load of loads.slice(0, Math.max(0, concurrentLoads - this.#openLoads))) {
            const evicts = actions.filter(action => action.action === "evict" && action.engine === load.engine);
            evicts.forEach(evict => this.#evict(evict));
            this.#load(load, 1_000 * concurrentLoads / loadsPerSecond);
        }
    }

    #evict({ engine, name }: PlannedAction): void {
        this.moves += 1;
        this.#copies.set(engine, (this.#copies.get(engine) ?? []).filter(copy => copy.name !== name));
        this.#publish(engine);
    }

    #load({ engine, name }: PlannedAction, durationMilliseconds: number): void {
        this.moves += 1;
        this.#openLoads += 1;
        const copy: Copy = {
            name,
            state: "loading",
            loadedAtMilliseconds: this.#run.events.now() + durationMilliseconds,
        };
        this.#copies.get(engine)?.push(copy);
        this.#run.events.schedule(durationMilliseconds, () => {
            copy.state = "proved";
            this.#openLoads -= 1;
            this.#publish(engine);
        });
    }

    #publish(engine: string): void {
        const proved = (this.#copies.get(engine) ?? []).filter(copy => copy.state === "proved");
        this.#run.setModels(engine, proved.map(copy => copy.name));
    }
}
