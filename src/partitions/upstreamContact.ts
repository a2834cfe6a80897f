/**
 * Tracks whether this host hears upstreams at all.
 *
 * @module
 */

/** A host without a word from any upstream for this time, to several of which it turned, may be partitioned from them. */
const SILENCE_MILLISECONDS = 300;

/** Upstreams that must have stayed silent; one alone may have stopped. */
const MINIMUM_SILENT_UPSTREAMS = 2;

/** Within this time after the last word from an upstream, the host hears upstreams. */
const HEARING_MILLISECONDS = 500;

/** A step that comes later than this after the one before shows that the host itself did not run. */
const MAXIMUM_STEP_MILLISECONDS = 600;

/**
 * The time of the last word from any upstream, and the upstreams that have stayed silent since.
 *
 * @example
 * ```ts
 * const contact = new UpstreamContact();
 * contact.recordTurnedTo("engine-3", now);
 * contact.recordHeard(now);
 * contact.isHearing(now); // true
 * ```
 */
export class UpstreamContact {
    /** Upstreams that were sent a request, or could not be connected to, since the last word; with the first time. */
    readonly #silentSince = new Map<string, number>();
    #heardAtMilliseconds = Number.NEGATIVE_INFINITY;
    #ranSinceMilliseconds = Number.NEGATIVE_INFINITY;
    #stepAtMilliseconds = Number.NEGATIVE_INFINITY;

    /** Records bytes from an upstream, or a connection to one. */
    recordHeard(nowMilliseconds: number): void {
        this.#heardAtMilliseconds = nowMilliseconds;
        this.#silentSince.clear();
    }

    /** Records that an upstream was sent a request, or could not be connected to. */
    recordTurnedTo(upstream: string, nowMilliseconds: number): void {
        if (!this.#silentSince.has(upstream)) {
            this.#silentSince.set(upstream, nowMilliseconds);
        }
    }

    /** Records that the host runs; called at regular times. After a pause, upstreams have time to be heard. */
    recordStep(nowMilliseconds: number): void {
        if (nowMilliseconds - this.#stepAtMilliseconds > MAXIMUM_STEP_MILLISECONDS) {
            this.#ranSinceMilliseconds = nowMilliseconds;
        }
        this.#stepAtMilliseconds = nowMilliseconds;
    }

    /** When an upstream was last heard. */
    get heardAtMilliseconds(): number {
        return this.#heardAtMilliseconds;
    }

    /** Returns whether an upstream was heard a moment ago. */
    isHearing(nowMilliseconds: number): boolean {
        return nowMilliseconds - this.#heardAtMilliseconds < HEARING_MILLISECONDS;
    }

    /** Returns the upstreams that have stayed silent for long; none where too few have. */
    silentUpstreams(nowMilliseconds: number): string[] {
        if (nowMilliseconds - this.#ranSinceMilliseconds < SILENCE_MILLISECONDS) {
            return [];
        }
        const silent = [...this.#silentSince].filter(([, since]) => nowMilliseconds - since >= SILENCE_MILLISECONDS);
        return silent.length < MINIMUM_SILENT_UPSTREAMS ? [] : silent.map(([upstream]) => upstream);
    }
}
