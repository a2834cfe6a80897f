/**
 * Orders to engines, and the records that holders publish of engines' memory.
 *
 * @module
 */
import { type HeldModel } from "../fleet/index.js";

/** An order to load or unload a model or an adapter. */
export interface EngineOrder {
    readonly operation: "load" | "unload";
    readonly model: string;
    /** `undefined` for an order on the model itself. */
    readonly adapter: string | undefined;
    /** Number of orders that the engine must have accepted before; it refuses this one otherwise. */
    readonly expectedOrderCount: number;
}

/** Outcome of an order. */
export type OrderOutcome =
    /** The engine accepted it and carries it out. */
    | "accepted"
    /** The engine is already in the ordered state, or reached it at once. */
    | "holds"
    /** Another order is in progress, or the engine's order count differs from the expected one. */
    | "conflict"
    /** The address belongs to another incarnation of the engine, or to another engine. */
    | "misdirected"
    /** The engine refused the fencing number or the order itself. */
    | "refused"
    /** No answer; the engine may carry out the order now or later. */
    | "unknown";

/** State of an engine's memory, as its holder publishes it. */
export interface EngineRecord {
    readonly engine: string;
    readonly startedAtMilliseconds: number | undefined;
    readonly orderCount: number;
    readonly models: readonly HeldModel[];
    /** The model that is being loaded, or will be once there is room. */
    readonly loading: string | undefined;
}
