/**
 * Fits a line to measured points.
 *
 * @module
 */

/** One measured point. */
export interface Point {
    readonly size: number;
    readonly value: number;
}

/** A line through points, with the standard error of its slope. */
export interface Slope {
    readonly intercept: number;
    readonly slope: number;
    readonly standardError: number;
}

function mean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/**
 * Fits a line by least squares.
 *
 * @param points At least three points of different sizes.
 *
 * @example
 * ```ts
 * const { slope, standardError } = fitSlope([{ size: 1, value: 2 }, { size: 2, value: 4 }, { size: 3, value: 6 }]);
 * ```
 */
export function fitSlope(points: readonly Point[]): Slope {
    const meanSize = mean(points.map(({ size }) => size));
    const meanValue = mean(points.map(({ value }) => value));
    const spread = points.reduce((sum, { size }) => sum + (size - meanSize) ** 2, 0);
    const together = points.reduce((sum, { size, value }) => sum + (size - meanSize) * (value - meanValue), 0);
    const slope = together / spread;
    const intercept = meanValue - slope * meanSize;
    const residual = points.reduce((sum, { size, value }) => sum + (value - intercept - slope * size) ** 2, 0);
    return { intercept, slope, standardError: Math.sqrt(residual / (points.length - 2) / spread) };
}
