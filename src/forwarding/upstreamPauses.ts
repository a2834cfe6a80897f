/**
 * Pauses that upstreams requested of this host with `Retry-After`.
 *
 * @module
 */

/** Longer pauses are cut to this, so that a wrong value does not exclude an upstream permanently. */
const MAXIMUM_PAUSE_MILLISECONDS = 60_000;

const MILLISECONDS_PER_SECOND = 1_000;

/** Parsed value of a `Retry-After` header. */
export type RequestedPause =
    | { readonly type: "pause"; readonly milliseconds: number; readonly isCut: boolean; }
    | { readonly type: "unreadable"; };

/**
 * Parses the value of a `Retry-After` header, a number of seconds.
 *
 * @param text The header's value.
 * @returns The pause, cut to a maximum; `unreadable` where the value is not a number of at least 0.
 *
 * @example
 * ```ts
 * parseRetryAfter("1.5"); // { type: "pause", milliseconds: 1_500, isCut: false }
 * ```
 */
export function parseRetryAfter(text: string): RequestedPause {
    const seconds = text.trim() === "" ? Number.NaN : Number(text);
    if (!Number.isFinite(seconds) || seconds < 0) {
        return { type: "unreadable" };
    }
    const requestedMilliseconds = seconds * MILLISECONDS_PER_SECOND;
    const milliseconds = Math.min(requestedMilliseconds, MAXIMUM_PAUSE_MILLISECONDS);
    return { type: "pause", milliseconds, isCut: milliseconds < requestedMilliseconds };
}

/**
 * Records until when each upstream accepts no requests from this host. Pauses are not shared between hosts: an upstream
 * requests one from each host itself, and may do so only from those that send it the most.
 *
 * @example
 * ```ts
 * const pauses = new UpstreamPauses();
 * pauses.record("engine-3", 1_500, now);
 * pauses.remaining("engine-3", now + 500); // 1_000
 * ```
 */
export class UpstreamPauses {
    readonly #pausedUntil = new Map<string, number>();

    /** Records an upstream's requested pause; a shorter pause does not end a longer one. */
    record(upstream: string, milliseconds: number, nowMilliseconds: number): void {
        const pausedUntil = nowMilliseconds + milliseconds;
        this.#pausedUntil.set(upstream, Math.max(pausedUntil, this.#pausedUntil.get(upstream) ?? pausedUntil));
    }

    /** Returns the remaining time of the upstream's pause; 0 where it accepts requests. */
    remaining(upstream: string, nowMilliseconds: number): number {
        const pausedUntil = this.#pausedUntil.get(upstream);
        if (pausedUntil === undefined) {
            return 0;
        }
        if (pausedUntil <= nowMilliseconds) {
            this.#pausedUntil.delete(upstream);
            return 0;
        }
        return pausedUntil - nowMilliseconds;
    }

    /** Drops the pause of an upstream, since a new incarnation has not requested any. */
    forget(upstream: string): void {
        this.#pausedUntil.delete(upstream);
    }
}
