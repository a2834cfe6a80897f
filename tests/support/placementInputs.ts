/**
 * Creates inputs of the placement planner for tests.
 *
 * @module
 */
import { type PlacementInput, type PlannedEngine } from "../../src/placement/index.js";
import { type EngineDefinition } from "../../src/routes/index.js";

/** Creates an engine that is loading nothing and stores no weights locally. */
export function createPlannedEngine(
    id: string,
    models: readonly string[],
    overrides: Partial<PlannedEngine> = {},
): PlannedEngine {
    return { id, models, loading: undefined, locallyStoredModels: [], ...overrides };
}

/** Creates an input with the given demand in which the planner may change every engine. */
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
