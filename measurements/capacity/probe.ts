/**
 * Measures the processor time and heap use of a function.
 *
 * @module
 */

const REPEATS = 5;
const MICROSECONDS_IN_MILLISECOND = 1000;

/** Returns the used heap in bytes after a garbage collection; needs `node --expose-gc`. */
export function heapBytes(): number {
    if (globalThis.gc === undefined) {
        throw new Error("garbage collection is not exposed; run with node --expose-gc");
    }
    globalThis.gc();
    globalThis.gc();
    return process.memoryUsage().heapUsed;
}

/**
 * Measures the processor time of one call, as the median over repeats of a batch.
 *
 * @param count Calls in a batch.
 * @param work Runs one call; receives its index.
 * @returns Microseconds per call.
 *
 * @example
 * ```ts
 * const microseconds = microsecondsPerCall(1000, index => decision.handle(messages[index], index));
 * ```
 */
export function microsecondsPerCall(count: number, work: (index: number) => void): number {
    const samples = Array.from({ length: REPEATS }, (_, repeat) => {
        const startedAt = performance.now();
        for (let index = 0; index < count; index += 1) {
            work(repeat * count + index);
        }
        return (performance.now() - startedAt) * MICROSECONDS_IN_MILLISECOND / count;
    });
    samples.sort((left, right) => left - right);
    return samples[Math.floor(REPEATS / 2)] ?? 0;
}

/**
 * Measures the heap that a value retains.
 *
 * @param create Creates the value.
 * @returns The value, so that it is not collected before the measurement, and its size in bytes.
 *
 * @example
 * ```ts
 * const { value, bytes } = retainedBytes(() => new Map([[1, "one"]]));
 * ```
 */
export function retainedBytes<Value>(create: () => Value): { readonly value: Value; readonly bytes: number; } {
    const before = heapBytes();
    const value = create();
    return { value, bytes: heapBytes() - before };
}
