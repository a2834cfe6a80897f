/**
 * Times in which this process does not run, for bounds on times that it measures.
 *
 * @module
 */

/** A process that runs handles the events of its connections within this time. */
const LONGEST_TURN_MILLISECONDS = 50;

const INTERVAL_MILLISECONDS = 1;

/** A measurement of the time in which this process did not run. */
export interface StallMeasurement {
    /** Returns that time since the measurement began. */
    read(): number;
    close(): void;
}

/** Begins to measure for how long this process does not run. */
export function measureStalls(): StallMeasurement {
    let stalledMilliseconds = 0;
    let lastAt = performance.now();
    const timer = setInterval(() => {
        const now = performance.now();
        stalledMilliseconds += Math.max(0, now - lastAt - LONGEST_TURN_MILLISECONDS);
        lastAt = now;
    }, INTERVAL_MILLISECONDS);
    return { read: () => stalledMilliseconds, close: () => clearInterval(timer) };
}
