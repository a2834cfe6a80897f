/**
 * Upstreams that asked this host for a pause.
 *
 * @module
 */

/** A longer pause is cut to this, so that a wrong figure does not cost an upstream for good. */
const LONGEST_PAUSE_MILLISECONDS = 60_000;

const MILLISECONDS_PER_SECOND = 1_000;

/** What the time of a `Retry-After` header says. */
export type RequestedPause =
    | { readonly type: "pause"; readonly milliseconds: number; readonly isCut: boolean; }
    | { readonly type: "unreadable"; };

/**
 * Reads a time in seconds, as `Retry-After` gives it.
 *
 * @param text The header's value.
 * @returns The pause, cut to a bound; unreadable where the value is no number of at least 0.
 *
 * @example
 * ```ts
 * readPause("1.5"); // { type: "pause", milliseconds: 1_500, isCut: false }
 * ```
 */
export function parseRetryAfter(text: string): RequestedPause {
    const seconds = text.trim() === "" ? Number.NaN : Number(text);
    if (!Number.isFinite(seconds) || seconds < 0) {
        return { type: "unreadable" };
    }
    const asked = seconds * MILLISECONDS_PER_SECOND;
    const milliseconds = Math.min(asked, LONGEST_PAUSE_MILLISECONDS);
    return { type: "pause", milliseconds, isCut: milliseconds < asked };
}

/**
 * Remembers until when each upstream wants no request of this host. What it asks of other hosts it tells them itself: it
 * may be full for those that send most only.
 *
 * @example
 * ```ts
 * const pauses = new UpstreamPauses();
 * pauses.note("engine-3", 1_500, now);
 * pauses.remaining("engine-3", now + 500); // 1_000
 * ```
 */
export class UpstreamPauses {
    readonly #until = new Map<string, number>();

    /** Takes an upstream's word that it wants nothing for so long; a shorter pause does not end a longer one. */
    record(upstream: string, milliseconds: number, nowMilliseconds: number): void {
        const until = nowMilliseconds + milliseconds;
        this.#until.set(upstream, Math.max(until, this.#until.get(upstream) ?? until));
    }

    /** Gives how much longer the upstream wants nothing; 0 where it takes requests. */
    remaining(upstream: string, nowMilliseconds: number): number {
        const until = this.#until.get(upstream);
        if (until === undefined) {
            return 0;
        }
        if (until <= nowMilliseconds) {
            this.#until.delete(upstream);
            return 0;
        }
        return until - nowMilliseconds;
    }

    /** Another run of the upstream has asked for nothing yet. */
    forget(upstream: string): void {
        this.#until.delete(upstream);
    }
}
