/**
 * Keeps stuck engines from holding up moves that others could make.
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
 * only that its move stays in the plan.
 *
 * @example
 * ```ts
 * const follower = new PlanFollower();
 * const passedOver = follower.passedOver(now);
 * follower.note(planMoves({ ...situation, passedOver }), now);
 * ```
 */
export class PlanFollower {
    /** The moves of the last plan by engine, and since when each has been in the plan. */
    #planned = new Map<string, { readonly model: string; readonly sinceMilliseconds: number; }>();
    readonly #passedOver = new Map<string, number>();

    /** Takes the moves as they are planned now. */
    note(moves: readonly WeightMove[], nowMilliseconds: number): void {
        const before = this.#planned;
        this.#planned = new Map();
        for (const { engine, model } of moves) {
            const known = before.get(engine);
            const sinceMilliseconds = known?.model === model ? known.sinceMilliseconds : nowMilliseconds;
            if (nowMilliseconds - sinceMilliseconds >= STUCK_MILLISECONDS) {
                this.#passedOver.set(engine, nowMilliseconds + PASSED_OVER_MILLISECONDS);
            }
            else {
                this.#planned.set(engine, { model, sinceMilliseconds });
            }
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
