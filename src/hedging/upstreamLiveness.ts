/**
 * Tracks which upstreams were heard a moment ago, so that a request moves only to one that is known to answer.
 *
 * @module
 */

/** An upstream that was heard within this time has not paused for long enough to stall a request. */
const ALIVE_MILLISECONDS = 400;

/**
 * The time of the last byte from each upstream, whatever request it belonged to.
 *
 * @example
 * ```ts
 * const liveness = new UpstreamLiveness();
 * liveness.recordHeard("engine-3", now);
 * liveness.isAlive("engine-3", now + 100); // true
 * liveness.isAlive("engine-3", now + 1_000); // false
 * ```
 */
export class UpstreamLiveness {
    readonly #heardAtMilliseconds = new Map<string, number>();

    /** Records bytes from an upstream. */
    recordHeard(upstream: string, nowMilliseconds: number): void {
        this.#heardAtMilliseconds.set(upstream, nowMilliseconds);
    }

    /** Returns whether the upstream was heard a moment ago; false where nothing is known. */
    isAlive(upstream: string, nowMilliseconds: number): boolean {
        return this.silenceMilliseconds(upstream, nowMilliseconds) < ALIVE_MILLISECONDS;
    }

    /** Returns the time since the upstream was last heard; infinite where it never was. */
    silenceMilliseconds(upstream: string, nowMilliseconds: number): number {
        return nowMilliseconds - (this.#heardAtMilliseconds.get(upstream) ?? Number.NEGATIVE_INFINITY);
    }

    forget(upstream: string): void {
        this.#heardAtMilliseconds.delete(upstream);
    }
}
