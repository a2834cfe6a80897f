import { type HeldModel } from "../fleet/index.js";

/** An adapter of a model. */
export interface ModelAdapter {
    readonly model: string;
    readonly adapter: string;
}

function copyModels(models: readonly HeldModel[]): Map<string, Map<string, number>> {
    return new Map(models.map(({ name, adapters }) => [name, new Map(adapters.map(adapter => [adapter, 0]))]));
}

/** The models and adapters that an engine holds, and when each adapter was last used or loaded; 0 where unknown. */
export class HeldModels {
    #models: Map<string, Map<string, number>>;

    constructor(models: readonly HeldModel[]) {
        this.#models = copyModels(models);
    }

    get names(): string[] {
        return [...this.#models.keys()];
    }

    get adapterCount(): number {
        return [...this.#models.values()].reduce((sum, adapters) => sum + adapters.size, 0);
    }

    has(model: string): boolean {
        return this.#models.has(model);
    }

    hasAdapter({ adapter, model }: ModelAdapter): boolean {
        return this.#models.get(model)?.has(adapter) === true;
    }

    list(): HeldModel[] {
        return [...this.#models].map(([name, adapters]) => ({ name, adapters: [...adapters.keys()] }));
    }

    /** Forgets all models, and holds those of a list. */
    reset(models: readonly HeldModel[]): void {
        this.#models = copyModels(models);
    }

    /** Replaces models and adapters by those of a list, and keeps the times at which adapters were used. */
    replace(models: readonly HeldModel[]): void {
        const previousModels = this.#models;
        this.#models = copyModels(models);
        for (const [name, adapters] of this.#models) {
            for (const adapter of adapters.keys()) {
                adapters.set(adapter, previousModels.get(name)?.get(adapter) ?? 0);
            }
        }
    }

    /** Adds the unknown models of a list; returns whether there were any. */
    addUnknown(models: readonly HeldModel[]): boolean {
        const added = models.filter(({ name }) => !this.#models.has(name));
        added.forEach(({ name, adapters }) => this.#models.set(name, new Map(adapters.map(adapter => [adapter, 0]))));
        return added.length > 0;
    }

    /** Adds a model without adapters. */
    add(model: string): void {
        this.#models.set(model, new Map());
    }

    delete(model: string): void {
        this.#models.delete(model);
    }

    /** Adds an adapter of a model that is held. */
    addAdapter({ adapter, model }: ModelAdapter, atMilliseconds: number): void {
        this.#models.get(model)?.set(adapter, atMilliseconds);
    }

    /** Records that an adapter is used, if it is held. */
    recordUse(used: ModelAdapter, atMilliseconds: number): void {
        if (this.hasAdapter(used)) {
            this.addAdapter(used, atMilliseconds);
        }
    }

    deleteAdapter({ adapter, model }: ModelAdapter): void {
        this.#models.get(model)?.delete(adapter);
    }

    /** Returns the adapter whose last use is longest ago, of those used before a time and not in use. */
    leastRecentlyUsed(
        beforeMilliseconds: number,
        isUsed: (candidate: ModelAdapter) => boolean,
    ): ModelAdapter | undefined {
        let oldest: ModelAdapter | undefined;
        let oldestMilliseconds = beforeMilliseconds;
        for (const [model, adapters] of this.#models) {
            for (const [adapter, usedAtMilliseconds] of adapters) {
                const candidate = { model, adapter };
                if (usedAtMilliseconds < oldestMilliseconds && !isUsed(candidate)) {
                    oldest = candidate;
                    oldestMilliseconds = usedAtMilliseconds;
                }
            }
        }
        return oldest;
    }
}
