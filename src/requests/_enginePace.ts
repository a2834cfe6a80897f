/**
 * Which part of an engine's slots keeps the target of the first token, learned from the attempts of this host.
 *
 * @module
 */

const LATE_SHARE_OF_TARGET = 0.8;
const EARLY_SHARE_OF_TARGET = 0.5;
const DECREASE_FACTOR = 0.85;
const INCREASE_STEP = 0.02;
const LEAST_SHARE = 0.25;
const DECREASE_INTERVAL_MILLISECONDS = 500;

/** Additive increase and multiplicative decrease of the share of slots that is used. */
export interface EnginePace {
    /**
     * Learns from one urgent attempt.
     *
     * @param shareOfTarget Time from dispatch to the first token, as a share of the target.
     * @param nowMilliseconds The time of the first token.
     */
    recordFirstToken(shareOfTarget: number, nowMilliseconds: number): void;
    /** Tells which share of the slots to use, up to 1. */
    share(): number;
}

/**
 * Creates the pace of an engine that is not known to be slow.
 *
 * @returns The pace.
 */
export function createEnginePace(): EnginePace {
    let share = 1;
    let decreasedAtMilliseconds = Number.NEGATIVE_INFINITY;
    return {
        recordFirstToken: (shareOfTarget, nowMilliseconds) => {
            if (shareOfTarget < EARLY_SHARE_OF_TARGET) {
                share = Math.min(1, share + INCREASE_STEP);
                return;
            }
            const isDue = nowMilliseconds - decreasedAtMilliseconds >= DECREASE_INTERVAL_MILLISECONDS;
            if (shareOfTarget > LATE_SHARE_OF_TARGET && isDue) {
                share = Math.max(LEAST_SHARE, share * DECREASE_FACTOR);
                decreasedAtMilliseconds = nowMilliseconds;
            }
        },
        share: () => share,
    };
}
