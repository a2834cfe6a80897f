import { type EngineDefinition } from "../routes/index.js";
import { type HeldModels } from "./_heldModels.js";
import { freeMegabytes } from "./engineMemory.js";
import { type PlacementMove } from "./placementInput.js";

/** A move whose load is not ordered within this time is abandoned, for example where requests keep a model in use. */
const MOVE_TIMEOUT_MILLISECONDS = 8_000;

/** An order that a move needs next. */
export interface MoveStep {
    readonly operation: "load" | "unload";
    readonly model: string;
    readonly reason: "planned" | "make-room";
}

/** A move in progress whose load is not ordered yet. */
export class OpenMove {
    /** The model to load. */
    readonly model: string;
    readonly #dropped: readonly string[];
    readonly #timeoutAtMilliseconds: number;

    constructor({ dropped, model }: Pick<PlacementMove, "dropped" | "model">, nowMilliseconds: number) {
        this.model = model;
        this.#dropped = dropped;
        this.#timeoutAtMilliseconds = nowMilliseconds + MOVE_TIMEOUT_MILLISECONDS;
    }

    /**
     * Returns the next order; `undefined` where the move is to be abandoned, since it took too long or the model does
     * not fit. A plan may be older than the holder's state, and an engine that is loaded beyond its memory crashes.
     */
    nextStep(held: HeldModels, definition: EngineDefinition, nowMilliseconds: number): MoveStep | undefined {
        if (nowMilliseconds > this.#timeoutAtMilliseconds) {
            return undefined;
        }
        const dropped = this.#dropped.find(model => held.has(model));
        if (dropped !== undefined) {
            return { operation: "unload", model: dropped, reason: "make-room" };
        }
        const hasRoom = freeMegabytes(definition, new Set([...held.names, this.model])) >= 0;
        return hasRoom ? { operation: "load", model: this.model, reason: "planned" } : undefined;
    }
}
