/**
 * Token bucket of the permits to one upstream.
 *
 * @module
 */

/** Permits that accumulate while none are needed, in seconds of the rate; at least one permit. */
const BURST_SECONDS = 0.25;

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Accumulates permits at a rate that may change, up to a small burst.
 *
 * @example
 * ```ts
 * const bucket = new PermitBucket(now);
 * bucket.refill(4, now + 250);
 * bucket.tryTake(); // true
 * ```
 */
export class PermitBucket {
    #permits = 0;
    #refilledAtMilliseconds: number;

    /** @param nowMilliseconds The time from which permits accumulate. */
    constructor(nowMilliseconds: number) {
        this.#refilledAtMilliseconds = nowMilliseconds;
    }

    /** Adds the permits of the time since the last refill. */
    refill(permitsPerSecond: number, nowMilliseconds: number): void {
        const capacity = Math.max(1, permitsPerSecond * BURST_SECONDS);
        const elapsedSeconds = (nowMilliseconds - this.#refilledAtMilliseconds) / MILLISECONDS_PER_SECOND;
        this.#permits = Math.min(capacity, this.#permits + permitsPerSecond * elapsedSeconds);
        this.#refilledAtMilliseconds = nowMilliseconds;
    }

    /** Takes a permit; returns false where there is none. */
    tryTake(): boolean {
        if (this.#permits < 1) {
            return false;
        }
        this.#permits -= 1;
        return true;
    }
}
