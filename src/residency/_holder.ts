/**
 * State of the residency decision, and what its parts share.
 *
 * @module
 */
import { type IdentifierSource } from "../decision/index.js";
import { type FencingNumber } from "../generated/platform.js";
import { type DemandTracker } from "./_demand.js";
import { type PoolText } from "./_drafts.js";
import { createEngineState, type EngineState } from "./_engineState.js";
import { type StoreBudget } from "./_storeBudget.js";
import { type ResidencyEffect } from "./messages.js";
import { type PlannedExchange } from "./placement.js";

/** Nothing is written or sent when less than this is left of the lease. */
const LEASE_MARGIN_MILLISECONDS = 1_000;
/** A copy counts as standing for this long after its engine's own report was asked for. */
export const CONFIRMATION_LIFETIME_MILLISECONDS = 5_000;

/** The lease as this process knows it. */
export interface HeldLease {
    readonly epoch: number;
    expiresAtMilliseconds: number;
}

/** Everything that the decision keeps. */
export interface Holder {
    readonly pool: string;
    readonly createIdentifier: IdentifierSource;
    readonly demand: DemandTracker;
    readonly wantedAdapters: Map<string, number>;
    readonly explained: Map<string, string>;
    readonly effects: ResidencyEffect[];
    text: PoolText | undefined;
    lease: HeldLease | undefined;
    engines: Map<string, EngineState>;
    leavingEngines: ReadonlySet<string>;
    budget: StoreBudget;
    /** Moves of standing copies that may be made. */
    moves: StoreBudget;
    /** Engine that the last plan chose for each model's next copy. */
    intended: ReadonlyMap<string, string>;
    exchange: PlannedExchange | undefined;
    sequence: number;
}

/** A holder that may act, with what it needs for that. */
export interface ActiveHolder extends Holder {
    text: PoolText;
    lease: HeldLease;
}

/** Tells whether the lease is held, is not about to run out, and the text is known. */
export function isActive(holder: Holder, nowMilliseconds: number): holder is ActiveHolder {
    return holder.lease !== undefined
        && holder.text !== undefined
        && nowMilliseconds < holder.lease.expiresAtMilliseconds - LEASE_MARGIN_MILLISECONDS;
}

/** Returns a fencing number above all that this process has used. */
export function nextFencing(holder: ActiveHolder): FencingNumber {
    holder.sequence += 1;
    return { epoch: holder.lease.epoch, sequence: holder.sequence };
}

/** Brings the engines in line with the text; state of engines that stay is kept. */
export function alignEngines(holder: Holder): void {
    const names = holder.text?.pool.engines.map(engine => engine.name).sort() ?? [];
    holder.engines = new Map(names.map(name => [name, holder.engines.get(name) ?? createEngineState(name)]));
}

/** Explains something once, until the reason changes. */
export function explainOnce(
    holder: Holder,
    action: "wait" | "none",
    engine: string | undefined,
    name: string,
    reason: string,
): void {
    const key = `${engine ?? ""} ${name}`;
    if (holder.explained.get(key) !== reason) {
        holder.explained.set(key, reason);
        holder.effects.push({ type: "explain", action, engine, name, reason });
    }
}
