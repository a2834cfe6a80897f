/**
 * Time for which a process was ready to run and had no processor, for bounds on what it does in time.
 *
 * @module
 */
import { readFileSync } from "node:fs";

const INTERVAL_MILLISECONDS = 20;
const NANOSECONDS_PER_MILLISECOND = 1_000_000;

interface Sample {
    readonly atMilliseconds: number;
    readonly delayMilliseconds: number;
}

/** A measurement of such times; `close` ends it. */
export interface RunDelayMeasurement {
    /** Returns the time without a processor between two readings of `performance.now`. */
    between(fromMilliseconds: number, toMilliseconds: number): number;
    close(): void;
}

/** Reads the time from the kernel's scheduler statistics; 0 where there are none, as outside of Linux. */
function readDelay(processId: number): number {
    try {
        const [, waitedNanoseconds] = readFileSync(`/proc/${processId}/schedstat`, "utf8").split(" ");
        return Number(waitedNanoseconds) / NANOSECONDS_PER_MILLISECOND;
    }
    catch {
        return 0;
    }
}

/** Begins to measure for how long a process waits for a processor. */
export function measureRunDelays(processId: number): RunDelayMeasurement {
    const samples: Sample[] = [];
    const sample = (): void => {
        samples.push({ atMilliseconds: performance.now(), delayMilliseconds: readDelay(processId) });
    };
    sample();
    const timer = setInterval(sample, INTERVAL_MILLISECONDS);
    return {
        between: (fromMilliseconds, toMilliseconds) => {
            const before = samples.findLast(({ atMilliseconds }) => atMilliseconds <= fromMilliseconds) ?? samples[0];
            const after = samples.find(({ atMilliseconds }) => atMilliseconds >= toMilliseconds) ?? samples.at(-1);
            return (after?.delayMilliseconds ?? 0) - (before?.delayMilliseconds ?? 0);
        },
        close: () => clearInterval(timer),
    };
}
