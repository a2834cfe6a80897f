/**
 * Plans copies of models at engines of a certain software version, for streams that can go on only there.
 *
 * @module
 */
import { modelsOf } from "./_moveEvaluation.js";
import { type PlacementInput, type PlacementMove, type PlannedEngine } from "./placementInput.js";
import { planMoves } from "./planWeights.js";

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

/** What a plan for copies at versions depends on. */
export interface VersionCopyInput {
    readonly service: string;
    readonly input: PlacementInput;
    /** Moves that are planned already; their engines begin no other one. */
    readonly planned: readonly PlacementMove[];
    /** Returns an engine's software version. */
    readonly versionOf: (engine: string) => string | undefined;
}

/** Returns the input of a plan for engines of one version alone, in which only the needed model may lack a copy. */
function inputForVersion(
    { definition, ...input }: PlacementInput,
    engines: readonly PlannedEngine[],
    neededModel: string,
): PlacementInput {
    const held = new Set(engines.flatMap(engine => [...modelsOf(engine)]));
    const models = definition.models.filter(({ name }) => name === neededModel || held.has(name));
    return { ...input, definition: { ...definition, models }, engines };
}

/**
 * Remembers which models streams need at which version, and plans a copy where no engine of that version has one.
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

    /** Returns the moves that load needed models, at most one on each engine. */
    plan({ input, planned, service, versionOf }: VersionCopyInput, nowMilliseconds: number): PlacementMove[] {
        const moves: PlacementMove[] = [];
        for (const { model, version } of this.#needsOf(service, nowMilliseconds)) {
            const engines = input.engines.filter(({ id }) => versionOf(id) === version);
            if (engines.some(engine => modelsOf(engine).has(model))) {
                continue;
            }
            const changing = new Set([...planned, ...moves].map(({ engine }) => engine));
            const move = planMoves(inputForVersion(input, engines, model))
                .find(candidate => candidate.model === model && !changing.has(candidate.engine));
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
