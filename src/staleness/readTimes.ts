/**
 * Tracks when a host last read everything that had arrived for it.
 *
 * @module
 */

/** Interval at which a host that has nothing to do looks whether anything has arrived. */
export const READ_INTERVAL_MILLISECONDS = 150;

/** What arrived may wait unread for longer than this only on a host that did not run, or not enough. */
const LATE_MILLISECONDS = 250;

/**
 * After this long without reading, a view of the key-value service may be too old to act on. Upstreams that leave go on
 * for two seconds at least.
 */
const GAP_MILLISECONDS = 400;

/**
 * The times at which everything that had arrived was read, and the gaps between them.
 *
 * @example
 * ```ts
 * const reads = new ReadTimes(now);
 * reads.recordRead(now + 3_400); // 3400: the host did not read for so long
 * reads.listenedMilliseconds(now + 3_400); // 250
 * ```
 */
export class ReadTimes {
    #readAtMilliseconds: number;
    #readUntilMilliseconds: number;
    #listenedMilliseconds = 0;

    /** @param nowMilliseconds Reading of the steady clock. */
    constructor(nowMilliseconds: number) {
        this.#readAtMilliseconds = nowMilliseconds;
        this.#readUntilMilliseconds = nowMilliseconds;
    }

    /** Everything that arrived before this time on connections that were being read has been read. */
    get readUntilMilliseconds(): number {
        return this.#readUntilMilliseconds;
    }

    /**
     * Records that everything was read that had arrived.
     *
     * @param nowMilliseconds Reading of the steady clock.
     * @param polledAfterMilliseconds A time before the sockets were polled.
     * @returns The time since the last such moment, if a view may have become too old meanwhile; otherwise `undefined`.
     */
    recordRead(nowMilliseconds: number, polledAfterMilliseconds = nowMilliseconds): number | undefined {
        this.#listenedMilliseconds = this.listenedMilliseconds(nowMilliseconds);
        const gapMilliseconds = nowMilliseconds - this.#readAtMilliseconds;
        this.#readAtMilliseconds = nowMilliseconds;
        this.#readUntilMilliseconds = polledAfterMilliseconds;
        return gapMilliseconds >= GAP_MILLISECONDS ? gapMilliseconds : undefined;
    }

    /** Returns whether facts may have been waiting to be read for longer than on a host that runs. */
    isBehind(nowMilliseconds: number): boolean {
        return nowMilliseconds - this.#readAtMilliseconds >= LATE_MILLISECONDS;
    }

    /**
     * Returns the time for which this host could hear others: the steady clock without the time in which nothing was
     * read. The silence of others is measured by it.
     */
    listenedMilliseconds(nowMilliseconds: number): number {
        const sinceRead = Math.max(0, nowMilliseconds - this.#readAtMilliseconds);
        return this.#listenedMilliseconds + Math.min(sinceRead, LATE_MILLISECONDS);
    }
}
