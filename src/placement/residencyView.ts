/**
 * Local view of the models and adapters on each engine.
 *
 * @module
 */
import { type HeldModel, type UpstreamAnnouncement } from "../fleet/index.js";
import { type EngineRecord } from "./types.js";

/** Whether an engine can run a request for a model and adapter. */
export type Residency = "held" | "adapter-missing" | "absent";

interface KnownResidency {
    readonly startedAtMilliseconds: number | undefined;
    /** Order count in the holder's record; 0 where only the engine's announcement was received. */
    readonly orderCount: number;
    readonly models: Map<string, Set<string>>;
    readonly loading: string | undefined;
    readonly loadingSinceMilliseconds: number;
    /** When its holder's last record was received; `undefined` where only the engine's announcement was. */
    readonly recordedAtMilliseconds: number | undefined;
}

function toMap(models: readonly HeldModel[]): Map<string, Set<string>> {
    return new Map(models.map(({ name, adapters }) => [name, new Set(adapters)]));
}

/** Returns whether two engines' models and adapters are the same. */
function holdSame(
    left: ReadonlyMap<string, ReadonlySet<string>>,
    right: ReadonlyMap<string, ReadonlySet<string>>,
): boolean {
    return left.size === right.size && [...left].every(([model, adapters]) => {
        const others = right.get(model);
        return others !== undefined && others.size === adapters.size && [...adapters].every(name => others.has(name));
    });
}

/** Returns whether a list names an engine's models and adapters, each once and no others. */
function holdsExactly(known: ReadonlyMap<string, ReadonlySet<string>>, models: readonly HeldModel[]): boolean {
    if (known.size !== models.length) {
        return false;
    }
    for (const [name, knownAdapters] of known) {
        const adapters = models.find(model => model.name === name)?.adapters;
        if (adapters?.length !== knownAdapters.size || ![...knownAdapters].every(each => adapters.includes(each))) {
            return false;
        }
    }
    return true;
}

/** Returns the models of which two states of an engine hold other adapters, or that one of them does not hold or load. */
function changedModels(before: KnownResidency | undefined, after: KnownResidency | undefined): string[] {
    const names = new Set([...before?.models.keys() ?? [], ...after?.models.keys() ?? []]);
    const isSame = (left: ReadonlySet<string> | undefined, right: ReadonlySet<string> | undefined): boolean =>
        left === right || (left !== undefined && left.size === right?.size && [...left].every(each => right.has(each)));
    const changed = [...names].filter(name => !isSame(before?.models.get(name), after?.models.get(name)));
    const loading = before?.loading === after?.loading ? [] : [before?.loading, after?.loading];
    return [...changed, ...loading.filter(name => name !== undefined)];
}

function isOlderIncarnation(startedAtMilliseconds: number | undefined, known: KnownResidency): boolean {
    return (startedAtMilliseconds ?? 0) < (known.startedAtMilliseconds ?? 0);
}

/**
 * Combines engines' announcements with their holders' records. Engines announce changes of their models but not of
 * their adapters, so the models are taken from announcements and the adapters from holders' records.
 *
 * @example
 * ```ts
 * const residency = new ResidencyView();
 * residency.applyRecord(record, now);
 * residency.residencyOf("engine-3", "quotes", undefined); // "held"
 * ```
 */
export class ResidencyView {
    readonly #engines = new Map<string, KnownResidency>();
    readonly #changes = new Map<string, number>();

    /** Applies an engine's announcement, unless it comes from an earlier incarnation than the known state. */
    applyAnnouncement(announcement: UpstreamAnnouncement): void {
        const known = this.#engines.get(announcement.id);
        const { startedAtMilliseconds } = announcement;
        const announced = toMap(announcement.models);
        if (known === undefined || known.startedAtMilliseconds !== startedAtMilliseconds) {
            if (known === undefined || !isOlderIncarnation(startedAtMilliseconds, known)) {
                const models = announced;
                this.#set(announcement.id, {
                    startedAtMilliseconds,
                    orderCount: 0,
                    models,
                    loading: undefined,
                    loadingSinceMilliseconds: 0,
                    recordedAtMilliseconds: undefined,
                });
            }
            return;
        }
        for (const [model, adapters] of known.models) {
            if (announced.has(model)) {
                announced.set(model, adapters);
            }
        }
        const loading = announced.has(known.loading ?? "") ? undefined : known.loading;
        this.#set(announcement.id, { ...known, models: announced, loading });
    }

    /**
     * Applies a record from an engine's holder; ignores it if it is older than the known state.
     *
     * @returns Whether what the engine holds or loads is now known to be another.
     */
    applyRecord(record: EngineRecord, nowMilliseconds: number): boolean {
        const known = this.#engines.get(record.engine);
        if (known !== undefined) {
            const isSameIncarnation = known.startedAtMilliseconds === record.startedAtMilliseconds;
            const isOlder = isSameIncarnation
                ? record.orderCount < known.orderCount
                : isOlderIncarnation(record.startedAtMilliseconds, known);
            if (isOlder) {
                return false;
            }
        }
        const isSame = known !== undefined && holdsExactly(known.models, record.models);
        const models = isSame ? known.models : toMap(record.models);
        this.#set(record.engine, {
            startedAtMilliseconds: record.startedAtMilliseconds,
            orderCount: record.orderCount,
            models,
            loading: record.loading,
            loadingSinceMilliseconds: known !== undefined && known.loading === record.loading
                ? known.loadingSinceMilliseconds
                : nowMilliseconds,
            recordedAtMilliseconds: nowMilliseconds,
        });
        return known === undefined || known.loading !== record.loading
            || known.startedAtMilliseconds !== record.startedAtMilliseconds
            || !(isSame || holdSame(known.models, models));
    }

    /** Records an engine's answer that it does not hold the model or adapter that a request names. */
    recordAbsent(engine: string, model: string, adapter: string | undefined): void {
        const models = this.#engines.get(engine)?.models;
        if (adapter === undefined) {
            models?.delete(model);
        }
        else {
            models?.get(model)?.delete(adapter);
        }
        this.#countChange(model);
    }

    /** Rises whenever an engine begins or ceases to hold or load a model, or holds other adapters of it. */
    changesOf(model: string): number {
        return this.#changes.get(model) ?? 0;
    }

    residencyOf(engine: string, model: string, adapter: string | undefined): Residency {
        const adapters = this.#engines.get(engine)?.models.get(model);
        if (adapters === undefined) {
            return "absent";
        }
        return adapter === undefined || adapters.has(adapter) ? "held" : "adapter-missing";
    }

    models(engine: string): string[] {
        return [...this.#engines.get(engine)?.models.keys() ?? []];
    }

    adapters(engine: string, model: string): string[] {
        return [...this.#engines.get(engine)?.models.get(model) ?? []];
    }

    /** Returns the number of adapters that an engine holds, over all its models. */
    adapterCount(engine: string): number {
        const models = this.#engines.get(engine)?.models.values() ?? [];
        return [...models].reduce((sum, adapters) => sum + adapters.size, 0);
    }

    loading(engine: string): string | undefined {
        return this.#engines.get(engine)?.loading;
    }

    /** Returns when this host first learned that an engine loads a model; `undefined` where it does not load it. */
    loadingSince(engine: string, model: string): number | undefined {
        const known = this.#engines.get(engine);
        return known?.loading === model ? known.loadingSinceMilliseconds : undefined;
    }

    /** Returns when the last record of an engine's holder was received; `undefined` for none. */
    recordedAt(engine: string): number | undefined {
        return this.#engines.get(engine)?.recordedAtMilliseconds;
    }

    forget(engine: string): void {
        changedModels(this.#engines.get(engine), undefined).forEach(model => this.#countChange(model));
        this.#engines.delete(engine);
    }

    #set(engine: string, residency: KnownResidency): void {
        const before = this.#engines.get(engine);
        if (before?.models !== residency.models || before.loading !== residency.loading) {
            changedModels(before, residency).forEach(model => this.#countChange(model));
        }
        this.#engines.set(engine, residency);
    }

    #countChange(model: string): void {
        this.#changes.set(model, this.changesOf(model) + 1);
    }
}
