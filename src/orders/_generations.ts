/**
 * Tracks which ticket generations are accepted, and whether orders of expired ones were dispatched.
 *
 * @module
 */

/** Status of a generation relative to the window; `expired` where an order of it may have been dispatched. */
export type GenerationStatus = "accepted" | "ahead" | "far-ahead" | "expired-not-run" | "expired";

/** The window of accepted generations; it never moves back. */
export interface Generations {
    /** Moves the window to the current time. */
    advance(nowMilliseconds: number): void;
    /** Generation of tickets issued now. */
    readonly current: number;
    /** Lowest accepted generation; keys of lower ones may be dropped and are never run. */
    readonly lowestAccepted: number;
    statusOf(generation: number): GenerationStatus;
    /** Records that an order of this generation is dispatched to a plain service. */
    recordDispatch(generation: number): void;
}

/** Options of the window. */
export interface GenerationOptions {
    /** Unix time minus the decision's clock. */
    readonly wallClockOffsetMilliseconds: number;
    readonly generationMilliseconds: number;
    readonly keptGenerations: number;
}

/** Accepts new tickets also where this host's clock is slightly behind the issuer's. */
const MAXIMUM_ACCEPTED_GENERATIONS_AHEAD = 1;
/** Up to this many generations ahead, a refused key is remembered until its generation has expired. */
const MAXIMUM_GENERATIONS_AHEAD = 16;
const MAXIMUM_TRACKED_GENERATIONS = 256;

/** Creates the window; the first call of `advance` sets its position. */
export function createGenerations(options: GenerationOptions): Generations {
    const dispatched = new Set<number>();
    /** Dispatches of lower generations are no longer tracked, so any order of them may have run. */
    let lowestTracked = 0;
    let current = 0;
    let lowestAccepted = 0;

    function advance(nowMilliseconds: number): void {
        const wallClockMilliseconds = nowMilliseconds + options.wallClockOffsetMilliseconds;
        current = Math.max(current, Math.floor(wallClockMilliseconds / options.generationMilliseconds), 0);
        lowestAccepted = Math.max(lowestAccepted, current - options.keptGenerations + 1);
    }

    function statusOf(generation: number): GenerationStatus {
        if (generation > current + MAXIMUM_GENERATIONS_AHEAD) {
            return "far-ahead";
        }
        if (generation > current + MAXIMUM_ACCEPTED_GENERATIONS_AHEAD) {
            return "ahead";
        }
        if (generation >= lowestAccepted) {
            return "accepted";
        }
        return dispatched.has(generation) || generation < lowestTracked ? "expired" : "expired-not-run";
    }

    function recordDispatch(generation: number): void {
        dispatched.add(generation);
        if (dispatched.size <= MAXIMUM_TRACKED_GENERATIONS) {
            return;
        }
        const oldest = Math.min(...dispatched);
        dispatched.delete(oldest);
        lowestTracked = Math.max(lowestTracked, oldest + 1);
    }

    return {
        advance,
        statusOf,
        recordDispatch,
        get current() {
            return current;
        },
        get lowestAccepted() {
            return lowestAccepted;
        },
    };
}
