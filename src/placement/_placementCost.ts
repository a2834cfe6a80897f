/**
 * Computes the cost of a placement of models on engines, and the gain of a single move.
 *
 * The cost of an engine grows faster than its load, and a model without a copy adds a cost of its own. Only the engines
 * whose load a move changes are evaluated, which keeps planning fast for large fleets.
 *
 * @module
 */

/** Cost of a model without a copy, in the unit of the square of an engine's load as a share of its slots. */
const MISSING_COST = 0.25;

/** Additional cost of a model without a copy that is in demand. */
const MISSING_REQUESTED_COST = 0.2;

/** Additional cost of a model without a copy, for each engine's worth of its requests. */
const UNSERVED_COST = 4.5;

/** Cost of each engine's worth of requests beyond an engine's slots. */
const OVERLOAD_COST = 4;

/** Load, as a share of an engine's slots, beyond which simultaneous requests cause gaps in streams. */
const COMFORTABLE_LOAD = 0.4;

/** Weight of the square of the load beyond `COMFORTABLE_LOAD`. */
const CROWDED_WEIGHT = 4;

/** The models of each engine; whoever builds it decides whether models that are still loading count. */
export type Placement = ReadonlyMap<string, ReadonlySet<string>>;

/**
 * Returns the cost of one engine's load. On a crowded engine streams have gaps and requests wait; requests beyond its
 * slots are refused, at a cost in proportion to their number.
 */
function engineCostOf(load: number): number {
    const within = Math.min(1, load);
    const crowding = Math.max(0, within - COMFORTABLE_LOAD);
    return within * within + CROWDED_WEIGHT * crowding * crowding + OVERLOAD_COST * Math.max(0, load - 1);
}

function missingCostOf(load: number): number {
    return MISSING_COST + (load > 0 ? MISSING_REQUESTED_COST : 0) + UNSERVED_COST * load;
}

/** Minimum weight of a copy, since even an engine with a low rate limit takes some requests. */
const MINIMUM_WEIGHT = 0.01;

/**
 * Computes costs and gains on the assumption that the load of each model is spread over its copies in proportion to the
 * capacity of their engines, that is evenly where no rate limit leaves a part of an engine unused.
 *
 * @example
 * ```ts
 * const cost = new PlacementCost(placement, new Map([["quotes", 1.5]]));
 * const gain = cost.gainOf("engine-3", "quotes", ["specs"]);
 * ```
 */
export class PlacementCost {
    readonly #enginesByModel = new Map<string, string[]>();
    readonly #load: ReadonlyMap<string, number>;
    readonly #engineLoads = new Map<string, number>();
    readonly #unavailable: ReadonlyMap<string, number>;
    /** Sum of the weights of each model's copies. */
    readonly #weightByModel = new Map<string, number>();
    /** By model and by the change in weight. */
    readonly #costsOfChangedWeight = new Map<string, Map<number, number>>();

    /**
     * @param placement The models on each engine.
     * @param load Requests of each model that would run at once, as a share of an engine's slots.
     * @param unavailable Share of the slots of some engines that cannot be used; it counts like load.
     */
    constructor(
        placement: Placement,
        load: ReadonlyMap<string, number>,
        unavailable: ReadonlyMap<string, number> = new Map(),
    ) {
        this.#load = load;
        this.#unavailable = unavailable;
        for (const [engine, models] of placement) {
            models.forEach(model => {
                this.#enginesByModel.set(model, [...this.#enginesByModel.get(model) ?? [], engine]);
                add(this.#weightByModel, model, this.#weightOf(engine));
            });
        }
        for (const [engine, models] of placement) {
            const modelLoad = [...models].reduce((sum, model) => sum + this.#loadOfCopyOn(engine, model), 0);
            this.#engineLoads.set(engine, modelLoad + (unavailable.get(engine) ?? 0));
        }
    }

    copies(model: string): number {
        return this.#enginesByModel.get(model)?.length ?? 0;
    }

    /** Returns the load of one copy of a model on a whole engine; the model's whole load if it has no copy. */
    loadOfCopy(model: string): number {
        return this.#loadOfCopyAt(model, this.#weightByModel.get(model) ?? 0);
    }

    /** Returns the load of a copy on a whole engine once the copies of the model have a total weight. */
    #loadOfCopyAt(model: string, weight: number): number {
        return this.loadOf(model) / (weight > MINIMUM_WEIGHT / 2 ? weight : 1);
    }

    #weightOf(engine: string): number {
        return Math.max(MINIMUM_WEIGHT, 1 - (this.#unavailable.get(engine) ?? 0));
    }

    #loadOfCopyOn(engine: string, model: string): number {
        return this.loadOfCopy(model) * this.#weightOf(engine);
    }

    loadOf(model: string): number {
        return this.#load.get(model) ?? 0;
    }

    /** Returns how much the cost falls once the engine has unloaded some models and loaded another. */
    gainOf(engine: string, model: string, unloaded: readonly string[]): number {
        const costOfAbsence = this.copies(model) === 0 ? missingCostOf(this.loadOf(model)) : 0;
        return costOfAbsence - this.#costOfRemovedLastCopies(unloaded) - this.#costOfMove(engine, model, unloaded);
    }

    /** Returns how much the cost rises once the engine has unloaded some models. */
    lossOf(engine: string, unloaded: readonly string[]): number {
        return this.#costOfRemovedLastCopies(unloaded) + this.#costOfMove(engine, undefined, unloaded);
    }

    /**
     * Returns the cost of the load that shifts between engines. Most moves change the load of each other engine through
     * one model only. The cost of that change is then the same for all moves and is computed once.
     */
    #costOfMove(engine: string, model: string | undefined, unloaded: readonly string[]): number {
        const changed = model === undefined ? unloaded : [model, ...unloaded];
        if (this.#shareAnotherEngine(engine, changed)) {
            const changes = new Map<string, number>();
            if (model !== undefined) {
                this.#addCopy(changes, engine, model);
            }
            unloaded.forEach(other => this.#removeCopy(changes, engine, other));
            return this.#costOfLoadChanges(changes);
        }
        const weight = this.#weightOf(engine);
        let loadChange = 0;
        let cost = 0;
        if (model !== undefined) {
            loadChange += (this.loadOfCopy(model) + this.#loadChangePerCopy(model, weight)) * weight;
            cost += this.#costForEnginesWithCopy(model, weight);
        }
        for (const other of unloaded) {
            loadChange -= this.#loadOfCopyOn(engine, other);
            cost += this.#costForEnginesWithCopy(other, -weight)
                - this.#costOfLoadChange(engine, this.#loadChangePerCopy(other, -weight) * weight);
        }
        return cost + this.#costOfLoadChange(engine, loadChange);
    }

    /** Returns whether another engine holds more than one of the models. */
    #shareAnotherEngine(engine: string, models: readonly string[]): boolean {
        return models.some((model, index) =>
            models.slice(index + 1).some(other =>
                this.#enginesByModel.get(other)?.some(otherEngine =>
                    otherEngine !== engine && this.#enginesByModel.get(model)?.includes(otherEngine) === true
                ) === true
            )
        );
    }

    /** Returns the change in load of a copy on a whole engine when the copies of the model gain or lose weight. */
    #loadChangePerCopy(model: string, weightChange: number): number {
        const weight = (this.#weightByModel.get(model) ?? 0) + weightChange;
        return this.#loadOfCopyAt(model, weight) - this.loadOfCopy(model);
    }

    /** Returns the change in cost of all engines that hold a model when its copies elsewhere gain or lose weight. */
    #costForEnginesWithCopy(model: string, weightChange: number): number {
        const known = this.#costsOfChangedWeight.get(model) ?? new Map<number, number>();
        this.#costsOfChangedWeight.set(model, known);
        const knownCost = known.get(weightChange);
        if (knownCost !== undefined) {
            return knownCost;
        }
        const loadChange = this.#loadChangePerCopy(model, weightChange);
        const cost = (this.#enginesByModel.get(model) ?? []).reduce(
            (sum, engine) => sum + this.#costOfLoadChange(engine, loadChange * this.#weightOf(engine)),
            0,
        );
        known.set(weightChange, cost);
        return cost;
    }

    #costOfLoadChange(engine: string, difference: number): number {
        const load = this.#engineLoads.get(engine) ?? 0;
        return engineCostOf(Math.max(0, load + difference)) - engineCostOf(load);
    }

    /** Returns the cost of the models that have no copy once one copy of each is unloaded. */
    #costOfRemovedLastCopies(unloaded: readonly string[]): number {
        const lastCopies = unloaded.filter(model => this.copies(model) === 1);
        return lastCopies.reduce((sum, model) => sum + missingCostOf(this.loadOf(model)), 0);
    }

    #costOfLoadChanges(changes: ReadonlyMap<string, number>): number {
        let cost = 0;
        for (const [engine, difference] of changes) {
            cost += this.#costOfLoadChange(engine, difference);
        }
        return cost;
    }

    #addCopy(changes: Map<string, number>, engine: string, model: string): void {
        const loadChange = this.#loadChangePerCopy(model, this.#weightOf(engine));
        for (const other of this.#enginesByModel.get(model) ?? []) {
            add(changes, other, loadChange * this.#weightOf(other));
        }
        add(changes, engine, (this.loadOfCopy(model) + loadChange) * this.#weightOf(engine));
    }

    #removeCopy(changes: Map<string, number>, engine: string, model: string): void {
        const loadChange = this.#loadChangePerCopy(model, -this.#weightOf(engine));
        for (const other of this.#enginesByModel.get(model) ?? []) {
            add(
                changes,
                other,
                other === engine ? -this.#loadOfCopyOn(engine, model) : loadChange * this.#weightOf(other),
            );
        }
    }
}

function add(sums: Map<string, number>, key: string, amount: number): void {
    sums.set(key, (sums.get(key) ?? 0) + amount);
}
