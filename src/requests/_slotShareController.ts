/**
 * Adapts the share of an engine's slots in use so that first tokens meet their target, by this host's attempts.
 *
 * @module
 */

const LATE_FIRST_TOKEN_TARGET_SHARE = 0.8;
const EARLY_FIRST_TOKEN_TARGET_SHARE = 0.5;
const DECREASE_FACTOR = 0.85;
const INCREASE_STEP = 0.02;
const MINIMUM_SHARE = 0.25;
const DECREASE_INTERVAL_MILLISECONDS = 500;

/** Controls the share of slots in use by additive increase and multiplicative decrease. */
export interface SlotShareController {
    /**
     * Adjusts the share after the first token of one urgent attempt.
     *
     * @param shareOfTarget Time from dispatch to the first token, as a share of the target.
     * @param nowMilliseconds The time of the first token.
     */
    recordFirstToken(shareOfTarget: number, nowMilliseconds: number): void;
    /** Returns the share of the slots to use, at most 1. */
    current(): number;
}

/**
 * Creates a controller that starts with all slots.
 *
 * @returns The controller.
 */
export function createSlotShareController(): SlotShareController {
    let share = 1;
    let decreasedAtMilliseconds = Number.NEGATIVE_INFINITY;
    return {
        recordFirstToken: (shareOfTarget, nowMilliseconds) => {
            if (shareOfTarget < EARLY_FIRST_TOKEN_TARGET_SHARE) {
                share = Math.min(1, share + INCREASE_STEP);
                return;
            }
            const isDue = nowMilliseconds - decreasedAtMilliseconds >= DECREASE_INTERVAL_MILLISECONDS;
            if (shareOfTarget > LATE_FIRST_TOKEN_TARGET_SHARE && isDue) {
                share = Math.max(MINIMUM_SHARE, share * DECREASE_FACTOR);
                decreasedAtMilliseconds = nowMilliseconds;
            }
        },
        current: () => share,
    };
}
