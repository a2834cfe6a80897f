/**
 * Notices that this host's event loop was held up, so that its own delay is not taken for the silence of others.
 *
 * @module
 */

/** More often than digests are looked at, so that a delay is noticed before a peer is judged by it. */
const INTERVAL_MILLISECONDS = 50;

/** Shorter delays are within what digests allow for. */
const MINIMUM_DELAY_MILLISECONDS = 200;

/** Options of {@linkcode OwnDelayWatch}. */
export interface OwnDelayWatchOptions {
    readonly readClock: () => number;
    /** Called after this host did not run for some time. */
    readonly onDelayed: (milliseconds: number) => void;
}

/**
 * Measures by how much a timer fires late, until closed.
 *
 * @example
 * ```ts
 * const watch = new OwnDelayWatch({ readClock, onDelayed: delay => peers.excuseSilence(delay, readClock()) });
 * watch.start();
 * watch.close();
 * ```
 */
export class OwnDelayWatch {
    readonly #options: OwnDelayWatchOptions;
    #timer: NodeJS.Timeout | undefined;
    #steppedAtMilliseconds = 0;

    constructor(options: OwnDelayWatchOptions) {
        this.#options = options;
    }

    start(): void {
        this.#steppedAtMilliseconds = this.#options.readClock();
        this.#timer = setInterval(() => this.check(), INTERVAL_MILLISECONDS);
    }

    /** Looks for a delay at once, before others are judged. */
    check(): void {
        const { onDelayed, readClock } = this.#options;
        const now = readClock();
        const delayMilliseconds = now - this.#steppedAtMilliseconds - INTERVAL_MILLISECONDS;
        this.#steppedAtMilliseconds = now;
        if (delayMilliseconds >= MINIMUM_DELAY_MILLISECONDS) {
            onDelayed(delayMilliseconds);
        }
    }

    close(): void {
        clearInterval(this.#timer);
    }
}
