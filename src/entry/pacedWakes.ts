/**
 * Dispatches of waiting requests after changes, a few a second however many changes there are.
 *
 * @module
 */

/** Interval of dispatches; the messages of several peers about one change arrive within about this time. */
const WAKE_INTERVAL_MILLISECONDS = 20;

/** Options of {@linkcode PacedWakes}. */
export interface PacedWakesOptions {
    /** Dispatches the waiting requests. */
    readonly wake: () => void;
    readonly readClock: () => number;
}

/**
 * Wakes waiting requests once for all changes of a message, and of the messages that follow it within the interval. The
 * first change after a while has them woken at the end of the present turn of the event loop.
 *
 * @example
 * ```ts
 * const wakes = new PacedWakes({ wake: () => forwarder.wake(), readClock });
 * wakes.request();
 * wakes.close();
 * ```
 */
export class PacedWakes {
    readonly #options: PacedWakesOptions;
    #isRequested = false;
    #timer: NodeJS.Timeout | undefined;
    #wokenAtMilliseconds = Number.NEGATIVE_INFINITY;
    #closed = false;

    constructor(options: PacedWakesOptions) {
        this.#options = options;
    }

    /** Has the waiting requests woken soon. */
    request(): void {
        if (this.#isRequested || this.#closed) {
            return;
        }
        this.#isRequested = true;
        const dueMilliseconds = this.#wokenAtMilliseconds + WAKE_INTERVAL_MILLISECONDS;
        const waitMilliseconds = dueMilliseconds - this.#options.readClock();
        if (waitMilliseconds <= 0) {
            setImmediate(() => this.#wake());
        }
        else {
            this.#timer = setTimeout(() => this.#wake(), waitMilliseconds);
        }
    }

    close(): void {
        this.#closed = true;
        clearTimeout(this.#timer);
    }

    #wake(): void {
        if (this.#closed) {
            return;
        }
        this.#isRequested = false;
        this.#options.wake();
        this.#wokenAtMilliseconds = this.#options.readClock();
    }
}
