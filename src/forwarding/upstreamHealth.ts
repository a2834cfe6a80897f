/**
 * Detects upstreams that are unreachable, or that fail so often that others should be tried first.
 *
 * @module
 */

/** Time after which an outcome counts half as much. */
const HALF_LIFE_MILLISECONDS = 2_000;

/** Minimum share of failures at which an upstream is avoided. */
const AVOIDED_FAILURE_SHARE = 0.35;

/** Minimum number of failures, weighted by age, at which an upstream is avoided. */
const MINIMUM_FAILURES = 2;

/** An upstream counts as unreachable for this time after a connection to it failed. */
const UNREACHABLE_MILLISECONDS = 400;

interface Health {
    successes: number;
    failures: number;
    decayedAtMilliseconds: number;
    unreachableUntilMilliseconds: number;
}

/**
 * Counts successful and failed attempts on each upstream with weights that decay exponentially with age.
 *
 * @example
 * ```ts
 * const health = new UpstreamHealth();
 * health.recordFailure("engine-3", now);
 * const avoided = health.isAvoided("engine-3", now);
 * ```
 */
export class UpstreamHealth {
    readonly #health = new Map<string, Health>();

    recordSuccess(upstream: string, nowMilliseconds: number): void {
        const health = this.#decay(upstream, nowMilliseconds);
        health.successes += 1;
        health.unreachableUntilMilliseconds = 0;
    }

    recordFailure(upstream: string, nowMilliseconds: number): void {
        this.#decay(upstream, nowMilliseconds).failures += 1;
    }

    recordUnreachable(upstream: string, nowMilliseconds: number): void {
        const health = this.#decay(upstream, nowMilliseconds);
        health.unreachableUntilMilliseconds = nowMilliseconds + UNREACHABLE_MILLISECONDS;
    }

    /** Returns whether a connection to the upstream failed recently, with no success since. */
    isUnreachable(upstream: string, nowMilliseconds: number): boolean {
        return (this.#health.get(upstream)?.unreachableUntilMilliseconds ?? 0) > nowMilliseconds;
    }

    /** Returns whether others should be tried first; an upstream is tried again once its failures have aged. */
    isAvoided(upstream: string, nowMilliseconds: number): boolean {
        if (!this.#health.has(upstream)) {
            return false;
        }
        const health = this.#decay(upstream, nowMilliseconds);
        const share = health.failures / (health.failures + health.successes);
        return health.failures >= MINIMUM_FAILURES && share >= AVOIDED_FAILURE_SHARE;
    }

    forget(upstream: string): void {
        this.#health.delete(upstream);
    }

    #decay(upstream: string, nowMilliseconds: number): Health {
        const health = this.#health.get(upstream) ?? {
            successes: 0,
            failures: 0,
            decayedAtMilliseconds: nowMilliseconds,
            unreachableUntilMilliseconds: 0,
        };
        this.#health.set(upstream, health);
        const factor = 0.5 ** ((nowMilliseconds - health.decayedAtMilliseconds) / HALF_LIFE_MILLISECONDS);
        health.successes *= factor;
        health.failures *= factor;
        health.decayedAtMilliseconds = nowMilliseconds;
        return health;
    }
}
