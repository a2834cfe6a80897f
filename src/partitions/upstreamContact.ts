/**
 * Tracks whether this host hears upstreams at all.
 *
 * @module
 */

/** A host that hears no upstream for this time, and could not connect to one, may be partitioned from all. */
const SILENCE_AFTER_FAILURE_MILLISECONDS = 300;

/** The same where no connection failed; upstreams that are busy may all be silent for a while. */
const SILENCE_MILLISECONDS = 700;

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
 * contact.recordSent("engine-3", now);
 * contact.recordHeard(now);
 * contact.isHearing(now); // true
 * ```
 */
export class UpstreamContact {
    /** Upstreams that were sent a request, or could not be connected to, since the last word; with the first time. */
    readonly #silentSince = new Map<string, number>();
    #hasFailed = false;
    #heardAtMilliseconds = Number.NEGATIVE_INFINITY;
    #ranSinceMilliseconds = Number.NEGATIVE_INFINITY;
    #stepAtMilliseconds = Number.NEGATIVE_INFINITY;

    /** Records bytes from an upstream, or a connection to one. */
    recordHeard(nowMilliseconds: number): void {
        this.#heardAtMilliseconds = nowMilliseconds;
        this.#hasFailed = false;
        this.#silentSince.clear();
    }

    /** Records that an upstream could not be connected to. */
    recordFailed(upstream: string, nowMilliseconds: number): void {
        this.#hasFailed = true;
        this.recordSent(upstream, nowMilliseconds);
    }

    /** Records that an upstream was sent a request. */
    recordSent(upstream: string, nowMilliseconds: number): void {
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
        const silence = this.#hasFailed ? SILENCE_AFTER_FAILURE_MILLISECONDS : SILENCE_MILLISECONDS;
        if (nowMilliseconds - this.#ranSinceMilliseconds < silence) {
            return [];
        }
        const silent = [...this.#silentSince].filter(([, since]) => nowMilliseconds - since >= silence);
        return silent.length < MINIMUM_SILENT_UPSTREAMS ? [] : silent.map(([upstream]) => upstream);
    }
}
