/**
 * Compares the predicted time to streams' first events with the real one.
 *
 * @module
 */

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
    #streams = 0;
    #predictedMilliseconds = 0;
    #tookMilliseconds = 0;

    record({ predictedMilliseconds, tookMilliseconds }: FirstEventTimes): void {
        this.#streams += 1;
        const weight = Math.max(STREAM_WEIGHT, 1 / this.#streams);
        this.#predictedMilliseconds += weight * (predictedMilliseconds - this.#predictedMilliseconds);
        this.#tookMilliseconds += weight * (tookMilliseconds - this.#tookMilliseconds);
    }

    /** Mean predicted time; 0 until a stream was recorded. */
    get meanPredictedMilliseconds(): number {
        return this.#predictedMilliseconds;
    }

    /** Mean real time; 0 until a stream was recorded. */
    get meanTookMilliseconds(): number {
        return this.#tookMilliseconds;
    }
}
