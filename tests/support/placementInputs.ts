/**
 * Situations that weights are planned in, for tests.
 *
 * @module
 */
import { type PlacementInput, type PlannedEngine } from "../../src/placement/index.js";
import { type EngineDefinition } from "../../src/routes/index.js";

/** Gives an engine that loads nothing and has no other weights at hand. */
export function plannedEngine(
    id: string,
    models: readonly string[],
    overrides: Partial<PlannedEngine> = {},
): PlannedEngine {
    return { id, models, loading: undefined, locallyStoredModels: [], ...overrides };
}

/** Gives a situation in which every engine may change, and only the demand is told. */
export function createPlacementInput(
    definition: EngineDefinition,
    engines: readonly PlannedEngine[],
    demand: Readonly<Record<string, number>>,
): PlacementInput {
    return {
        engines,
        definition,
        demand: new Map(Object.entries(demand)),
        adapterDemand: new Map(),
        prefillDemand: new Map(),
        excludedEngines: new Set(),
        enginesAtStoreLoadLimit: new Set(),
    };
}
