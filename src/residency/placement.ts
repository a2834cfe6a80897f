/**
 * What the placement planner is told and what it answers.
 *
 * @module
 */

/**
 * What is known of a copy: `proved`; `loading` or `evicting` under an order that is awaited; `uncertain` where it takes
 * room and a new load would prove it; `stuck` where an open evict can remove it at any time, so that no load proves it.
 */
export type CopyState = "proved" | "loading" | "evicting" | "uncertain" | "stuck";

/** A copy of a model version on an engine, or what may be one. */
export interface PlacementCopy {
    readonly name: string;
    readonly version: string;
    readonly megabytes: number;
    readonly state: CopyState;
    /** True where the answer to an evict would free its room. */
    readonly clearable: boolean;
    /** True where an evict is being prepared: it is the first to go. */
    readonly draining?: boolean;
    /** True where it may not be dropped for another copy yet. */
    readonly settling: boolean;
}

/** An adapter that an engine may hold. */
export interface PlacementGrant {
    readonly adapter: string;
    readonly model: string;
    readonly megabytes: number;
    /** True where the answer to an evict would free its room. */
    readonly clearable: boolean;
    readonly lastWantedMilliseconds: number;
}

/** One engine, with the memory that its ledger leaves. */
export interface PlacementEngine {
    readonly engine: string;
    readonly zone: string;
    /** False while it is leaving, unreachable or unknown: nothing is placed there and its copies don't count. */
    readonly usable: boolean;
    readonly freeMegabytes: number;
    readonly copies: readonly PlacementCopy[];
    readonly grants: readonly PlacementGrant[];
    /** Models, as `model <name> <version>`, whose load the engine has lately answered with a failure. */
    readonly unfit: ReadonlySet<string>;
}

/** A model that the pool has to keep resident. */
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
    /** When a request last named it; 0 for never. */
    readonly lastWantedMilliseconds: number;
    /** Missed targets of its requests; 0 by default. */
    readonly missedPerSecond?: number;
}

/** Everything that the planner looks at. */
export interface PlacementView {
    readonly engines: readonly PlacementEngine[];
    readonly models: readonly PlacementModel[];
    readonly adapters: readonly PlacementAdapter[];
    /** Engine that an earlier plan chose for a model's next copy; kept where it still serves. */
    readonly intended?: ReadonlyMap<string, string>;
    /** Exchange that an earlier plan began; it is gone on with. */
    readonly exchange?: PlannedExchange;
}

/** How easily the planner moves. */
export interface PlacementOptions {
    /** Weight of missed targets avoided, from 0 to 1; 0.5 by default. */
    readonly attainmentWeight?: number;
    /** Weight of a move, from 0 to 1; 0.5 by default. */
    readonly moveWeight?: number;
    /** False where no model may be moved or exchanged now, only loaded and cleared; true by default. */
    readonly mayMove?: boolean;
}

/** Something to be done on an engine; loads come in the order in which they are needed. */
export interface PlannedAction {
    readonly action: "load" | "evict" | "grant" | "withdraw";
    readonly engine: string;
    readonly name: string;
    /** Version of a model; the model of an adapter. */
    readonly version: string;
    readonly megabytes: number;
    readonly reason: string;
    /** True for a load that moves or exchanges copies that stand already. */
    readonly isMove: boolean;
}

/** Something that should be done and cannot. */
export interface PlacementProblem {
    readonly name: string;
    readonly reason: string;
}

/** A copy that replaces others on an engine. */
export interface PlannedExchange {
    readonly name: string;
    readonly engine: string;
}

/** The planner's answer. */
export interface PlacementPlan {
    readonly actions: readonly PlannedAction[];
    readonly problems: readonly PlacementProblem[];
    /** Exchange that is under way; to be given to the next plan. */
    readonly exchange?: PlannedExchange;
}
