/**
 * The pauses between the events of one stream.
 *
 * @module
 */

/** A stream is observed in parts of this length, so that long streams tell of their pauses before they end. */
const PART_MILLISECONDS = 1_000;

/** A part of a stream. */
export interface StreamPart {
    readonly startedAtMilliseconds: number;
    readonly longestPauseMilliseconds: number;
}

/**
 * Measures the pauses of a stream from one upstream, part by part.
 *
 * @example
 * ```ts
 * const pace = new StreamPace();
 * const part = pace.noteEvents(now);
 * if (part !== undefined) {
 *     console.log(part.longestPauseMilliseconds);
 * }
 * ```
 */
export class StreamPace {
    #startedAt: number | undefined;
    #lastEventsAt = 0;
    #longestPause = 0;

    /** Takes note of events that arrived; gives the part that they end, if they end one. */
    noteEvents(nowMilliseconds: number): StreamPart | undefined {
        if (this.#startedAt === undefined) {
            this.#begin(nowMilliseconds);
            return undefined;
        }
        this.#longestPause = Math.max(this.#longestPause, nowMilliseconds - this.#lastEventsAt);
        this.#lastEventsAt = nowMilliseconds;
        if (nowMilliseconds - this.#startedAt < PART_MILLISECONDS) {
            return undefined;
        }
        const part = { startedAtMilliseconds: this.#startedAt, longestPauseMilliseconds: this.#longestPause };
        this.#begin(nowMilliseconds);
        return part;
    }

    #begin(nowMilliseconds: number): void {
        this.#startedAt = nowMilliseconds;
        this.#lastEventsAt = nowMilliseconds;
        this.#longestPause = 0;
    }
}
