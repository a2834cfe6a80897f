/**
 * Which engine holds which models and adapters, as far as this host was told.
 *
 * @module
 */
import { type HeldModel, type UpstreamAnnouncement } from "../fleet/index.js";
import { type EngineRecord } from "./types.js";

/** Whether an engine can run a request for a model and adapter. */
export type Residency = "held" | "adapter-missing" | "absent";

interface KnownResidency {
    readonly startedAtMilliseconds: number | undefined;
    /** Orders that the holder knew of; 0 where only the engine itself was heard. */
    readonly orderCount: number;
    readonly models: Map<string, Set<string>>;
    readonly loading: string | undefined;
    readonly loadingSinceMilliseconds: number;
    /** When its holder's record came last; `undefined` where only the engine itself was heard. */
    readonly recordedAtMilliseconds: number | undefined;
}

function toMap(models: readonly HeldModel[]): Map<string, Set<string>> {
    return new Map(models.map(({ name, adapters }) => [name, new Set(adapters)]));
}

function isOlderRun(startedAtMilliseconds: number | undefined, known: KnownResidency): boolean {
    return (startedAtMilliseconds ?? 0) < (known.startedAtMilliseconds ?? 0);
}

/**
 * Joins what engines announce with what their holders tell. Engines announce changes of their models and not those of
 * their adapters, so that an announcement says which models are held, and a holder's record which adapters are.
 *
 * @example
 * ```ts
 * const residency = new ResidencyView();
 * residency.takeRecord(record, now);
 * residency.holds("engine-3", "quotes", undefined); // "held"
 * ```
 */
export class ResidencyView {
    readonly #engines = new Map<string, KnownResidency>();

    /** Takes an engine's announcement. */
    applyAnnouncement(announcement: UpstreamAnnouncement): void {
        const known = this.#engines.get(announcement.id);
        const { startedAtMilliseconds } = announcement;
        const announced = toMap(announcement.models);
        if (known === undefined || known.startedAtMilliseconds !== startedAtMilliseconds) {
            if (known === undefined || !isOlderRun(startedAtMilliseconds, known)) {
                const models = announced;
                this.#engines.set(announcement.id, {
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
        this.#engines.set(announcement.id, { ...known, models: announced, loading });
    }

    /** Takes what an engine's holder tells; true where it was not older than what is known. */
    applyRecord(record: EngineRecord, nowMilliseconds: number): boolean {
        const known = this.#engines.get(record.engine);
        if (known !== undefined) {
            const sameRun = known.startedAtMilliseconds === record.startedAtMilliseconds;
            const older = sameRun
                ? record.orderCount < known.orderCount
                : isOlderRun(record.startedAtMilliseconds, known);
            if (older) {
                return false;
            }
        }
        this.#engines.set(record.engine, {
            startedAtMilliseconds: record.startedAtMilliseconds,
            orderCount: record.orderCount,
            models: toMap(record.models),
            loading: record.loading,
            loadingSinceMilliseconds: known !== undefined && known.loading === record.loading
                ? known.loadingSinceMilliseconds
                : nowMilliseconds,
            recordedAtMilliseconds: nowMilliseconds,
        });
        return true;
    }

    /** Takes an engine's word that it does not hold what a request names. */
    recordAbsent(engine: string, model: string, adapter: string | undefined): void {
        const models = this.#engines.get(engine)?.models;
        if (adapter === undefined) {
            models?.delete(model);
        }
        else {
            models?.get(model)?.delete(adapter);
        }
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

    /** Gives how many adapters an engine holds, over all its models. */
    adapterCount(engine: string): number {
        const models = this.#engines.get(engine)?.models.values() ?? [];
        return [...models].reduce((sum, adapters) => sum + adapters.size, 0);
    }

    loading(engine: string): string | undefined {
        return this.#engines.get(engine)?.loading;
    }

    /** Gives since when an engine has been loading a model, as far as this host was told; `undefined` where it is not. */
    loadingSince(engine: string, model: string): number | undefined {
        const known = this.#engines.get(engine);
        return known?.loading === model ? known.loadingSinceMilliseconds : undefined;
    }

    /** Gives when the record of an engine's holder came last; `undefined` where none did. */
    recordedAt(engine: string): number | undefined {
        return this.#engines.get(engine)?.recordedAtMilliseconds;
    }

    forget(engine: string): void {
        this.#engines.delete(engine);
    }
}
