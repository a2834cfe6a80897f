/**
 * Decides when a host asks the key-value service whether its view is still current.
 *
 * @module
 */

/** A view that nobody confirmed for this long is asked about. Upstreams that leave go on for two seconds at least. */
const UNCONFIRMED_MILLISECONDS = 1_000;

/** An answer usually comes, and reaches the other hosts of the cell, within this time; then the next host asks. */
const TURN_MILLISECONDS = 200;

/** Bound of the pause of a host whose questions get no answers. */
const MAXIMUM_PAUSE_MILLISECONDS = 8_000;

/**
 * How long ago this host's view was confirmed: by an answer of the service to any host of the cell. Hosts ask in turn,
 * so that in calm times one of them asks for all, and each further one only where those before it bring no answer.
 *
 * @example
 * ```ts
 * const view = new ViewAge(now);
 * view.askAtMilliseconds(0); // now + 1_000
 * view.askAtMilliseconds(3); // now + 1_600: three hosts ask before this one
 * ```
 */
export class ViewAge {
    #confirmedAtMilliseconds: number;
    #pausedUntilMilliseconds = Number.NEGATIVE_INFINITY;
    #pauseMilliseconds = UNCONFIRMED_MILLISECONDS;

    /** @param nowMilliseconds When this host began; its view counts as confirmed then. */
    constructor(nowMilliseconds: number) {
        this.#confirmedAtMilliseconds = nowMilliseconds;
    }

    /** Records that the service had no changes beyond this view at some time; a time before the known one changes nothing. */
    recordConfirmed(atMilliseconds: number): void {
        this.#confirmedAtMilliseconds = Math.max(this.#confirmedAtMilliseconds, atMilliseconds);
    }

    /** Records whether the service answered a question of this host, which asks less often while it does not. */
    recordOutcome(isAnswered: boolean, nowMilliseconds: number): void {
        if (isAnswered) {
            this.#pauseMilliseconds = UNCONFIRMED_MILLISECONDS;
            return;
        }
        this.#pausedUntilMilliseconds = nowMilliseconds + this.#pauseMilliseconds;
        this.#pauseMilliseconds = Math.min(MAXIMUM_PAUSE_MILLISECONDS, 2 * this.#pauseMilliseconds);
    }

    /** Returns the time since the view was confirmed. */
    ageMilliseconds(nowMilliseconds: number): number {
        return nowMilliseconds - this.#confirmedAtMilliseconds;
    }

    /**
     * Returns when this host asks, unless its view is confirmed before.
     *
     * @param turn The number of hosts that ask before this one.
     */
    askAtMilliseconds(turn: number): number {
        const dueAtMilliseconds = this.#confirmedAtMilliseconds + UNCONFIRMED_MILLISECONDS + turn * TURN_MILLISECONDS;
        return Math.max(dueAtMilliseconds, this.#pausedUntilMilliseconds);
    }
}
