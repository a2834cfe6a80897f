/**
 * Compares the predicted time to streams' first events with the real one.
 *
 * @module
 */
import { RunningMean } from "../decision/index.js";

/** Weight of a new stream in the means. */
const STREAM_WEIGHT = 0.02;

/** Time from when a request was sent to the first event of its stream. */
export interface FirstEventTimes {
    /** Time that the prefill was expected to take when the request was sent. */
    readonly predictedMilliseconds: number;
    readonly tookMilliseconds: number;
}

/**
 * Averages the predicted and the real times.
 *
 * @example
 * ```ts
 * const forecast = new FirstEventForecast();
 * forecast.record({ predictedMilliseconds: 60, tookMilliseconds: 95 });
 * forecast.meanTookMilliseconds; // 95
 * ```
 */
export class FirstEventForecast {
    readonly #predicted = new RunningMean(STREAM_WEIGHT);
    readonly #took = new RunningMean(STREAM_WEIGHT);

    record({ predictedMilliseconds, tookMilliseconds }: FirstEventTimes): void {
        this.#predicted.add(predictedMilliseconds);
        this.#took.add(tookMilliseconds);
    }

    /** Mean predicted time; 0 until a stream was recorded. */
    get meanPredictedMilliseconds(): number {
        return this.#predicted.value;
    }

    /** Mean real time; 0 until a stream was recorded. */
    get meanTookMilliseconds(): number {
        return this.#took.value;
    }
}
