/**
 * What a plan of weights is made from, and the moves that it consists of.
 *
 * @module
 */
import { type EngineDefinition } from "../routes/index.js";

/** One engine, as the plan sees it. */
export interface PlannedEngine {
    readonly id: string;
    readonly models: readonly string[];
    readonly loading: string | undefined;
    /** Models that it can load without the weight store. */
    readonly locallyStoredModels: readonly string[];
}

/** What a plan is made from. */
export interface PlacementInput {
    /** All usable engines of the service. */
    readonly engines: readonly PlannedEngine[];
    readonly definition: EngineDefinition;
    /** Requests of each model that would run at once if all were served. */
    readonly demand: ReadonlyMap<string, number>;
    /** The part of these that name an adapter. */
    readonly adapterDemand: ReadonlyMap<string, number>;
    /** Engines that reading the prompts of each model's requests would keep busy. */
    readonly prefillDemand: ReadonlyMap<string, number>;
    /** Engines that should take no step now, though their models count. */
    readonly excludedEngines: ReadonlySet<string>;
    /** Engines that may begin no load from the weight store now. */
    readonly enginesAtStoreLoadLimit: ReadonlySet<string>;
}

/** Loads one model on an engine after dropping others there. */
export interface PlacementMove {
    readonly engine: string;
    readonly model: string;
    /** Models that make room, in the order in which they are dropped. */
    readonly dropped: readonly string[];
    /** Why, for the log. */
    readonly reason: "no-copy" | "busy-copies";
    /** How much better the placement becomes. */
    readonly gain: number;
}
