/**
 * Input and output of the placement planner.
 *
 * @module
 */

/**
 * State of a copy: `proved` where the engine confirmed it and no open evict can remove it; `loading` or `evicting`
 * while an order awaits its answer; `uncertain` where its memory is charged and a new load would confirm it; `stuck`
 * where an open evict can remove it at any time, so that no load confirms it.
 */
export type CopyState = "proved" | "loading" | "evicting" | "uncertain" | "stuck";

/** A copy, or possible copy, of a model version on an engine. */
export interface PlacementCopy {
    readonly name: string;
    readonly version: string;
    readonly megabytes: number;
    readonly state: CopyState;
    /** True where the answer to an evict would free its memory. */
    readonly clearable: boolean;
    /** True where an evict is being prepared; such a copy is evicted first. */
    readonly draining?: boolean;
    /** True where it is too recent to be exchanged for another copy. */
    readonly isSettling: boolean;
}

/** An adapter for which memory is reserved on an engine. */
export interface PlacementGrant {
    readonly adapter: string;
    readonly model: string;
    readonly megabytes: number;
    /** True where the answer to an evict would free its memory. */
    readonly clearable: boolean;
    readonly lastRequestedMilliseconds: number;
}

/** One engine, with the memory that its ledger does not charge. */
export interface PlacementEngine {
    readonly engine: string;
    readonly zone: string;
    /** False while it is leaving, unreachable or unconfirmed: nothing is placed there and its copies don't count. */
    readonly usable: boolean;
    readonly freeMegabytes: number;
    readonly copies: readonly PlacementCopy[];
    readonly grants: readonly PlacementGrant[];
    /** Models, as `model <name> <version>`, whose load failed on the engine and may not be retried there yet. */
    readonly modelsWithFailedLoad: ReadonlySet<string>;
}

/** A model that the pool must keep resident, with its demand. */
export interface PlacementModel {
    readonly name: string;
    readonly version: string;
    readonly megabytes: number;
    readonly minimumCopies: number;
    readonly arrivalsPerSecond: number;
    readonly missedPerSecond: number;
}

/** An adapter that may be granted. */
export interface PlacementAdapter {
    readonly name: string;
    readonly model: string;
    readonly megabytes: number;
    /** When it was last requested; 0 for never. */
    readonly lastRequestedMilliseconds: number;
    /** Target misses of its requests per second; 0 by default. */
    readonly missedPerSecond?: number;
}

/** Input of the planner. */
export interface PlacementView {
    readonly engines: readonly PlacementEngine[];
    readonly models: readonly PlacementModel[];
    readonly adapters: readonly PlacementAdapter[];
    /** Engine that an earlier plan chose for a model's next copy; preferred where it is still usable. */
    readonly intendedEngines?: ReadonlyMap<string, string>;
    /** Exchange that an earlier plan began, to be continued. */
    readonly exchange?: PlannedExchange;
}

/** Weights that decide when a move is worthwhile. */
export interface PlacementOptions {
    /** Weight of avoided target misses, from 0 to 1; 0.5 by default. */
    readonly attainmentWeight?: number;
    /** Weight of a move, from 0 to 1; 0.5 by default. */
    readonly moveWeight?: number;
    /** False where models may now be loaded and evicted but not moved or exchanged; true by default. */
    readonly mayMove?: boolean;
}

/** A change on an engine; loads are listed most urgent first. */
export interface PlannedAction {
    readonly action: "load" | "evict" | "grant" | "withdraw";
    readonly engine: string;
    readonly name: string;
    /** Version of a model; the model of an adapter. */
    readonly version: string;
    readonly megabytes: number;
    readonly reason: string;
    /** True for a load that moves or replaces existing copies. */
    readonly isMove: boolean;
}

/** A required copy that cannot be placed, with the reason. */
export interface PlacementProblem {
    readonly name: string;
    readonly reason: string;
}

/** A copy that is to replace others on an engine. */
export interface PlannedExchange {
    readonly name: string;
    readonly engine: string;
}

/** Output of the planner. */
export interface PlacementPlan {
    readonly actions: readonly PlannedAction[];
    readonly problems: readonly PlacementProblem[];
    /** Exchange in progress, to be passed to the next plan. */
    readonly exchange?: PlannedExchange;
}
