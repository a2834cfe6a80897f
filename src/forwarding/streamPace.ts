/**
 * Measures the gaps between the events of one stream.
 *
 * @module
 */

/** Streams are measured in parts of this duration, so that the gaps of a long stream are known before it ends. */
const PART_DURATION_MILLISECONDS = 1_000;

/** A part of a stream, with the longest gap between events in it. */
export interface StreamPart {
    readonly startedAtMilliseconds: number;
    readonly longestGapMilliseconds: number;
}

/**
 * Measures the gaps of a stream from one upstream, part by part.
 *
 * @example
 * ```ts
 * const pace = new StreamPace();
 * const part = pace.recordEvents(now);
 * if (part !== undefined) {
 *     console.log(part.longestGapMilliseconds);
 * }
 * ```
 */
export class StreamPace {
    #startedAt: number | undefined;
    #lastEventsAt = 0;
    #longestGap = 0;

    /** Records that events arrived; returns the part that they complete, if any. */
    recordEvents(nowMilliseconds: number): StreamPart | undefined {
        if (this.#startedAt === undefined) {
            this.#begin(nowMilliseconds);
            return undefined;
        }
        this.#longestGap = Math.max(this.#longestGap, nowMilliseconds - this.#lastEventsAt);
        this.#lastEventsAt = nowMilliseconds;
        if (nowMilliseconds - this.#startedAt < PART_DURATION_MILLISECONDS) {
            return undefined;
        }
        const part = { startedAtMilliseconds: this.#startedAt, longestGapMilliseconds: this.#longestGap };
        this.#begin(nowMilliseconds);
        return part;
    }

    #begin(nowMilliseconds: number): void {
        this.#startedAt = nowMilliseconds;
        this.#lastEventsAt = nowMilliseconds;
        this.#longestGap = 0;
    }
}
