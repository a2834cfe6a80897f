/**
 * Input of the placement planner, and the moves that it plans.
 *
 * @module
 */
import { type EngineDefinition } from "../routes/index.js";

/** State of one engine in the planner's input. */
export interface PlannedEngine {
    readonly id: string;
    readonly models: readonly string[];
    /** The model that is being loaded, or will be once there is room. */
    readonly loading: string | undefined;
    /** Models that it can load from its host memory or disk, without the weight store. */
    readonly locallyStoredModels: readonly string[];
    /** Share of its slots that its rate limit leaves unused, from 0 to 1; 0 where absent. */
    readonly unavailableShare?: number;
    /** Models that it may not unload; none where absent. */
    readonly keptModels?: readonly string[];
}

/** Everything that a plan depends on. */
export interface PlacementInput {
    /** All usable engines of the service. */
    readonly engines: readonly PlannedEngine[];
    readonly definition: EngineDefinition;
    /** Requests of each model that would run concurrently if all were served. */
    readonly demand: ReadonlyMap<string, number>;
    /** The requests in `demand` that name an adapter. */
    readonly adapterDemand: ReadonlyMap<string, number>;
    /** Number of engines that the prefill of each model's prompts would keep busy. */
    readonly prefillDemand: ReadonlyMap<string, number>;
    /** Engines that begin no move now; their models still count as copies. */
    readonly excludedEngines: ReadonlySet<string>;
    /** Engines that may begin no load from the weight store now. */
    readonly enginesAtStoreLoadLimit: ReadonlySet<string>;
}

/** Loads one model on an engine after unloading others there. */
export interface PlacementMove {
    readonly engine: string;
    readonly model: string;
    /** Models to unload first, in this order. */
    readonly dropped: readonly string[];
    /** Reason for the log: the model had no copy, or its copies were busy. */
    readonly reason: "no-copy" | "busy-copies";
    /** Reduction of the placement's cost within the planning horizon. */
    readonly gain: number;
}
