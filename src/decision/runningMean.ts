/**
 * A mean that follows changes.
 *
 * @module
 */

/**
 * The mean of the first values, then a moving average in which each new value has a minimum weight.
 *
 * @example
 * ```ts
 * const mean = new RunningMean(0.02);
 * mean.add(60);
 * mean.add(80);
 * mean.value; // 70
 * ```
 */
export class RunningMean {
    readonly #minimumWeight: number;
    #value: number;
    #count = 0;

    /**
     * @param minimumWeight Weight that each value has at least.
     * @param initialValue Returned until a value was added.
     */
    constructor(minimumWeight: number, initialValue = 0) {
        this.#minimumWeight = minimumWeight;
        this.#value = initialValue;
    }

    get value(): number {
        return this.#value;
    }

    /** Number of values that were added. */
    get count(): number {
        return this.#count;
    }

    add(value: number): void {
        this.#count += 1;
        this.#value += Math.max(this.#minimumWeight, 1 / this.#count) * (value - this.#value);
    }
}
