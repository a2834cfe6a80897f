/**
 * The processor time that the machine withholds from a test's process, so that a busy machine's delays are not taken for
 * those of the hosts in the process.
 *
 * @module
 */

const INTERVAL_MILLISECONDS = 10;
const MICROSECONDS_PER_MILLISECOND = 1_000;

function usedMilliseconds(): number {
    const { system, user } = process.cpuUsage();
    return (system + user) / MICROSECONDS_PER_MILLISECOND;
}

/**
 * Counts the time by which a timer fires late without the process having used the processor meanwhile. What the process
 * itself computes does not count.
 *
 * @example
 * ```ts
 * const withheld = new WithheldTime();
 * const before = withheld.totalMilliseconds;
 * await call();
 * const machineMilliseconds = withheld.totalMilliseconds - before;
 * withheld.close();
 * ```
 */
export class WithheldTime {
    readonly #timer = setInterval(() => this.#tick(), INTERVAL_MILLISECONDS);
    #tickedAtMilliseconds = performance.now();
    #usedAtTickMilliseconds = usedMilliseconds();
    #untilTickMilliseconds = 0;

    /** Time withheld since the count began. */
    get totalMilliseconds(): number {
        return this.#untilTickMilliseconds + this.#sinceTickMilliseconds();
    }

    close(): void {
        clearInterval(this.#timer);
    }

    #sinceTickMilliseconds(): number {
        const elapsed = performance.now() - this.#tickedAtMilliseconds;
        const used = usedMilliseconds() - this.#usedAtTickMilliseconds;
        return Math.max(0, elapsed - INTERVAL_MILLISECONDS - used);
    }

    #tick(): void {
        this.#untilTickMilliseconds += this.#sinceTickMilliseconds();
        this.#tickedAtMilliseconds = performance.now();
        this.#usedAtTickMilliseconds = usedMilliseconds();
    }
}
