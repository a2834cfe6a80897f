/**
 * Orders to engines and what is known of their memory.
 *
 * @module
 */
import { type HeldModel } from "../fleet/index.js";

/** An order that changes what an engine holds. */
export interface EngineOrder {
    readonly operation: "load" | "unload";
    readonly model: string;
    /** Missing where the model itself is meant. */
    readonly adapter: string | undefined;
    /** Orders that the engine must have accepted before; it refuses this one otherwise. */
    readonly expectedOrderCount: number;
}

/** What an engine answered to an order. */
export type OrderOutcome =
    /** The engine carries it out. */
    | "accepted"
    /** What was ordered holds already, or was done at once. */
    | "holds"
    /** Another order is under way, or the engine has accepted another number of orders. */
    | "conflict"
    /** Another run of the engine, or another engine, has the address. */
    | "misdirected"
    /** The engine refuses the fencing number or the order itself. */
    | "refused"
    /** No answer; the order may be carried out now or later. */
    | "unknown";

/** What the holder of an engine tells of it. */
export interface EngineRecord {
    readonly engine: string;
    readonly startedAtMilliseconds: number | undefined;
    readonly orderCount: number;
    readonly models: readonly HeldModel[];
    /** The model whose weights are being loaded. */
    readonly loading: string | undefined;
}
