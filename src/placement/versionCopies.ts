/**
 * Plans copies of models at engines of a certain software version, for streams that can go on only there.
 *
 * @module
 */
import { modelsOf } from "./_moveEvaluation.js";
import { type PlacementInput, type PlacementMove, type PlannedEngine } from "./placementInput.js";
import { planCopyOf } from "./planWeights.js";

/** A need that nobody has repeated for this time is over. */
const NEED_LIFETIME_MILLISECONDS = 2_500;

/** Limit of remembered needs; further ones are ignored. */
const MAXIMUM_NEEDS = 64;

/** A model that a stream needs at an engine of a version. */
export interface VersionCopyNeed {
    readonly service: string;
    readonly model: string;
    readonly version: string;
}

/** The engines of a service, and their versions. */
export interface VersionedEngines {
    readonly service: string;
    readonly engines: readonly PlannedEngine[];
    /** Returns an engine's software version. */
    readonly versionOf: (engine: string) => string | undefined;
}

/** What a plan for copies at versions depends on. */
export interface VersionCopyInput extends Omit<VersionedEngines, "engines"> {
    readonly input: PlacementInput;
    /** Moves that are planned already; their engines begin no other one. */
    readonly planned: readonly PlacementMove[];
}

/**
 * Returns the input of a plan in which other engines change nothing, their copies of a model do not count, and no other
 * model lacks a copy.
 */
function inputForEngines(
    { definition, engines, excludedEngines, ...input }: PlacementInput,
    model: string,
    mayLoad: (engine: PlannedEngine) => boolean,
): PlacementInput {
    const others = engines.filter(engine => !mayLoad(engine));
    const held = new Set(engines.flatMap(engine => [...modelsOf(engine)]));
    const models = definition.models.filter(({ name }) => name === model || held.has(name));
    return {
        ...input,
        definition: { ...definition, models },
        engines: engines.map(engine => mayLoad(engine) ? engine : withoutModel(engine, model)),
        excludedEngines: new Set([...excludedEngines, ...others.map(({ id }) => id)]),
    };
}

function withoutModel(engine: PlannedEngine, model: string): PlannedEngine {
    const { loading, models } = engine;
    return {
        ...engine,
        models: models.filter(name => name !== model),
        loading: loading === model ? undefined : loading,
    };
}

/**
 * Remembers which models streams need at which version, keeps the last copy there, and plans one where there is none.
 *
 * @example
 * ```ts
 * const copies = new VersionCopies();
 * copies.record({ service: "bag-llm", model: "quotes", version: "v1.1" }, now);
 * const moves = copies.plan({ service: "bag-llm", input, planned, versionOf }, now);
 * ```
 */
export class VersionCopies {
    readonly #needs = new Map<string, { readonly need: VersionCopyNeed; readonly atMilliseconds: number; }>();

    record({ model, service, version }: VersionCopyNeed, nowMilliseconds: number): void {
        const key = JSON.stringify([service, model, version]);
        if (this.#needs.has(key) || this.#needs.size < MAXIMUM_NEEDS) {
            this.#needs.set(key, { need: { model, service, version }, atMilliseconds: nowMilliseconds });
        }
    }

    /** Returns the engines, of which none may unload the last copy of a model at a version that streams need. */
    keepNeeded({ engines, service, versionOf }: VersionedEngines, nowMilliseconds: number): PlannedEngine[] {
        const keptModels = new Map<string, string[]>();
        for (const { model, version } of this.#needsOf(service, nowMilliseconds)) {
            const holders = engines.filter(({ id, models }) => models.includes(model) && versionOf(id) === version);
            const [last, ...others] = holders;
            if (last !== undefined && others.length === 0) {
                keptModels.set(last.id, [...keptModels.get(last.id) ?? [], model]);
            }
        }
        return engines.map(engine => {
            const kept = keptModels.get(engine.id);
            return kept === undefined ? engine : { ...engine, keptModels: kept };
        });
    }

    /** Returns the moves that load needed models, at most one on each engine. */
    plan({ input, planned, service, versionOf }: VersionCopyInput, nowMilliseconds: number): PlacementMove[] {
        const moves: PlacementMove[] = [];
        for (const { model, version } of this.#needsOf(service, nowMilliseconds)) {
            const engines = input.engines.filter(({ id }) => versionOf(id) === version);
            if (engines.some(engine => modelsOf(engine).has(model))) {
                continue;
            }
            const changing = new Set([...planned, ...moves].map(({ engine }) => engine));
            const mayLoad = ({ id }: PlannedEngine): boolean => versionOf(id) === version && !changing.has(id);
            const move = planCopyOf(inputForEngines(input, model, mayLoad), model);
            moves.push(...move === undefined ? [] : [move]);
        }
        return moves;
    }

    #needsOf(service: string, nowMilliseconds: number): VersionCopyNeed[] {
        for (const [key, { atMilliseconds }] of this.#needs) {
            if (nowMilliseconds - atMilliseconds > NEED_LIFETIME_MILLISECONDS) {
                this.#needs.delete(key);
            }
        }
        return [...this.#needs.values()].map(({ need }) => need).filter(need => need.service === service);
    }
}
