/**
 * Estimates how long attempts of each model take, from earlier attempts.
 *
 * @module
 */

const NEW_SAMPLE_WEIGHT = 0.1;
const DEFAULT_SERVICE_MILLISECONDS = 1_000;

/** Exponentially smoothed times of one host's attempts, by model. */
export interface ServiceTimes {
    recordFirstToken(model: string, milliseconds: number): void;
    recordServiceTime(model: string, milliseconds: number): void;
    /** Returns the time from dispatch to the first token; 0 until known. */
    estimateFirstTokenMilliseconds(model: string): number;
    /** Returns the time from dispatch to the end; a default until known. */
    estimateServiceMilliseconds(model: string): number;
}

/**
 * Creates service times without observations.
 *
 * @returns The service times.
 */
export function createServiceTimes(): ServiceTimes {
    const firstTokens = new Map<string, number>();
    const serviceTimes = new Map<string, number>();
    return {
        recordFirstToken: (model, milliseconds) => smooth(firstTokens, model, milliseconds),
        recordServiceTime: (model, milliseconds) => smooth(serviceTimes, model, milliseconds),
        estimateFirstTokenMilliseconds: model => firstTokens.get(model) ?? 0,
        estimateServiceMilliseconds: model => serviceTimes.get(model) ?? DEFAULT_SERVICE_MILLISECONDS,
    };
}

function smooth(averages: Map<string, number>, model: string, milliseconds: number): void {
    const average = averages.get(model) ?? milliseconds;
    averages.set(model, average + (milliseconds - average) * NEW_SAMPLE_WEIGHT);
}
