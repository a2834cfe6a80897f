/**
 * Keeps one stuck engine from holding up the plan for all.
 *
 * @module
 */
import { type WeightMove } from "./planWeights.js";

/** A move that its holder has not begun for this long is left to another engine. */
const STUCK_MILLISECONDS = 700;

/** An engine whose holder did not act is passed over for this long. */
const PASSED_OVER_MILLISECONDS = 4_000;

/**
 * Watches whether the moves of a plan are begun. A holder may be slow, cut off or waiting for an answer; the others see
 * only that the move stays the best one.
 *
 * @example
 * ```ts
 * const follower = new PlanFollower();
 * const passedOver = follower.passedOver(now);
 * follower.note(planWeights({ ...situation, passedOver }), now);
 * ```
 */
export class PlanFollower {
    #move: WeightMove | undefined;
    #sinceMilliseconds = 0;
    readonly #passedOver = new Map<string, number>();

    /** Takes the best move as it is now. */
    note(move: WeightMove | undefined, nowMilliseconds: number): void {
        const same = move !== undefined && move.engine === this.#move?.engine && move.model === this.#move.model;
        if (!same) {
            this.#move = move;
            this.#sinceMilliseconds = nowMilliseconds;
            return;
        }
        if (nowMilliseconds - this.#sinceMilliseconds >= STUCK_MILLISECONDS) {
            this.#passedOver.set(move.engine, nowMilliseconds + PASSED_OVER_MILLISECONDS);
            this.#move = undefined;
        }
    }

    /** Gives the engines that begin no move now. */
    passedOver(nowMilliseconds: number): ReadonlySet<string> {
        for (const [engine, until] of this.#passedOver) {
            if (nowMilliseconds >= until) {
                this.#passedOver.delete(engine);
            }
        }
        return new Set(this.#passedOver.keys());
    }
}
