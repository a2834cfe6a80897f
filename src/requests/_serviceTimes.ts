/**
 * How long attempts of each model last, learned from those that ended.
 *
 * @module
 */

const NEWEST_WEIGHT = 0.1;
const UNKNOWN_HOLD_MILLISECONDS = 1_000;

/** Smoothed times of one host. */
export interface ServiceTimes {
    recordFirstToken(model: string, milliseconds: number): void;
    recordHold(model: string, milliseconds: number): void;
    /** Time from dispatch to the first token; 0 until known. */
    firstToken(model: string): number;
    /** Time from dispatch to the end. */
    hold(model: string): number;
}

/**
 * Creates service times that know nothing yet.
 *
 * @returns The service times.
 */
export function createServiceTimes(): ServiceTimes {
    const firstTokens = new Map<string, number>();
    const holds = new Map<string, number>();
    return {
        recordFirstToken: (model, milliseconds) => smooth(firstTokens, model, milliseconds),
        recordHold: (model, milliseconds) => smooth(holds, model, milliseconds),
        firstToken: model => firstTokens.get(model) ?? 0,
        hold: model => holds.get(model) ?? UNKNOWN_HOLD_MILLISECONDS,
    };
}

function smooth(averages: Map<string, number>, model: string, milliseconds: number): void {
    const before = averages.get(model) ?? milliseconds;
    averages.set(model, before + (milliseconds - before) * NEWEST_WEIGHT);
}
