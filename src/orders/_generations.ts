/**
 * Which ticket generations are accepted, and what is known of forgotten ones.
 *
 * @module
 */

/** Where a generation stands against the window. */
export type GenerationStanding = "accepted" | "ahead" | "far-ahead" | "expired-not-run" | "expired";

/** The window of accepted generations; it never moves back. */
export interface Generations {
    /** Moves the window to the present time. */
    advance(nowMilliseconds: number): void;
    /** The generation of tickets issued now. */
    readonly current: number;
    /** The lowest accepted generation; keys below it may be forgotten, and are never run. */
    readonly floor: number;
    standingOf(generation: number): GenerationStanding;
    /** Notes that a key of this generation was passed to a plain service. */
    noteDispatch(generation: number): void;
}

/** Options of the window. */
export interface GenerationOptions {
    /** Added to the decision's clock, gives Unix time. */
    readonly wallClockOffsetMilliseconds: number;
    readonly generationMilliseconds: number;
    readonly keptGenerations: number;
}

/** A clock that is a little slow still runs new tickets. */
const ACCEPTED_GENERATIONS_AHEAD = 1;
/** Up to here a refused key is remembered until its generation has come and gone. */
const MOST_GENERATIONS_AHEAD = 16;
const REMEMBERED_DISPATCH_GENERATIONS = 256;

/** Creates the window; it begins where the first `advance` puts it. */
export function createGenerations(options: GenerationOptions): Generations {
    const dispatched = new Set<number>();
    let forgottenBelow = 0;
    let current = 0;
    let floor = 0;

    function advance(nowMilliseconds: number): void {
        const wallClock = nowMilliseconds + options.wallClockOffsetMilliseconds;
        current = Math.max(current, Math.floor(wallClock / options.generationMilliseconds), 0);
        floor = Math.max(floor, current - options.keptGenerations + 1);
    }

    function standingOf(generation: number): GenerationStanding {
        if (generation > current + MOST_GENERATIONS_AHEAD) {
            return "far-ahead";
        }
        if (generation > current + ACCEPTED_GENERATIONS_AHEAD) {
            return "ahead";
        }
        if (generation >= floor) {
            return "accepted";
        }
        return dispatched.has(generation) || generation < forgottenBelow ? "expired" : "expired-not-run";
    }

    function noteDispatch(generation: number): void {
        dispatched.add(generation);
        if (dispatched.size <= REMEMBERED_DISPATCH_GENERATIONS) {
            return;
        }
        const oldest = Math.min(...dispatched);
        dispatched.delete(oldest);
        forgottenBelow = Math.max(forgottenBelow, oldest + 1);
    }

    return {
        advance,
        standingOf,
        noteDispatch,
        get current() {
            return current;
        },
        get floor() {
            return floor;
        },
    };
}
