/**
 * State of the residency decision, and operations on it that several modules use.
 *
 * @module
 */
import { type IdentifierSource } from "../decision/index.js";
import { type FencingNumber } from "../generated/platform.js";
import { type DemandTracker } from "./_demand.js";
import { type PoolConfiguration } from "./_drafts.js";
import { createEngineState, type EngineState } from "./_engineState.js";
import { type TokenBucket } from "./_tokenBuckets.js";
import { type ResidencyEffect } from "./messages.js";
import { type PlannedExchange } from "./placement.js";

/** Nothing is written or sent when less than this remains of the lease. */
const LEASE_MARGIN_MILLISECONDS = 1_000;
/** How long a report confirms an engine's record, counted from when the report was requested. */
export const CONFIRMATION_LIFETIME_MILLISECONDS = 5_000;

/** The lease as last granted or renewed. */
export interface HeldLease {
    readonly epoch: number;
    expiresAtMilliseconds: number;
}

/** State of the decision, whether or not it holds the lease. */
export interface Holder {
    readonly pool: string;
    readonly createIdentifier: IdentifierSource;
    readonly demand: DemandTracker;
    readonly requestedAdapters: Map<string, number>;
    readonly explainedReasons: Map<string, string>;
    readonly effects: ResidencyEffect[];
    configuration: PoolConfiguration | undefined;
    lease: HeldLease | undefined;
    engines: Map<string, EngineState>;
    leavingEngines: ReadonlySet<string>;
    loadBudget: TokenBucket;
    /** Moves of existing copies that may be made. */
    moveBudget: TokenBucket;
    /** Engine that the last plan chose for each model's next copy. */
    intendedEngines: ReadonlyMap<string, string>;
    exchange: PlannedExchange | undefined;
    sequence: number;
}

/** State of a decision that holds the lease and knows the configuration. */
export interface ActiveHolder extends Holder {
    configuration: PoolConfiguration;
    lease: HeldLease;
}

/** Returns whether the lease is held and is not about to expire, and the configuration is known. */
export function isActive(holder: Holder, nowMilliseconds: number): holder is ActiveHolder {
    return holder.lease !== undefined
        && holder.configuration !== undefined
        && nowMilliseconds < holder.lease.expiresAtMilliseconds - LEASE_MARGIN_MILLISECONDS;
}

/** Returns a fencing number above all that this process has used under its lease. */
export function nextFencing(holder: ActiveHolder): FencingNumber {
    holder.sequence += 1;
    return { epoch: holder.lease.epoch, sequence: holder.sequence };
}

/** Creates and removes engine states to match the configuration; the state of engines that remain listed is kept. */
export function synchronizeEngines(holder: Holder): void {
    const names = holder.configuration?.pool.engines.map(engine => engine.name).sort() ?? [];
    holder.engines = new Map(names.map(name => [name, holder.engines.get(name) ?? createEngineState(name)]));
}

/** Emits an explanation unless the last one for this engine and name had the same reason. */
export function explainIfChanged(
    holder: Holder,
    action: "wait" | "none",
    engine: string | undefined,
    name: string,
    reason: string,
): void {
    const key = `${engine ?? ""} ${name}`;
    if (holder.explainedReasons.get(key) !== reason) {
        holder.explainedReasons.set(key, reason);
        holder.effects.push({ type: "explain", action, engine, name, reason });
    }
}
