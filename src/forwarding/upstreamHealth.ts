/**
 * Which upstreams fail so often that others should be tried first.
 *
 * @module
 */

/** Outcomes count half as much after this time. */
const HALF_LIFE_MILLISECONDS = 2_000;

/** Share of failures from which an upstream is avoided. */
const AVOIDED_FAILURE_SHARE = 0.35;

/** Failures, weighed by age, below which an upstream is not avoided. */
const FEWEST_FAILURES = 2;

/** After a connection that could not be made, the upstream is left alone for this long. */
const UNREACHABLE_MILLISECONDS = 400;

interface Health {
    successes: number;
    failures: number;
    weighedAtMilliseconds: number;
    unreachableUntilMilliseconds: number;
}

/**
 * Counts outcomes of attempts on each upstream, the older ones weighed less.
 *
 * @example
 * ```ts
 * const health = new UpstreamHealth();
 * health.noteFailure("engine-3", now);
 * const avoided = health.isAvoided("engine-3", now);
 * ```
 */
export class UpstreamHealth {
    readonly #health = new Map<string, Health>();

    recordSuccess(upstream: string, nowMilliseconds: number): void {
        const health = this.#weigh(upstream, nowMilliseconds);
        health.successes += 1;
        health.unreachableUntilMilliseconds = 0;
    }

    recordFailure(upstream: string, nowMilliseconds: number): void {
        this.#weigh(upstream, nowMilliseconds).failures += 1;
    }

    recordUnreachable(upstream: string, nowMilliseconds: number): void {
        const health = this.#weigh(upstream, nowMilliseconds);
        health.unreachableUntilMilliseconds = nowMilliseconds + UNREACHABLE_MILLISECONDS;
    }

    /** Tells whether connections to the upstream failed a moment ago. */
    isUnreachable(upstream: string, nowMilliseconds: number): boolean {
        return (this.#health.get(upstream)?.unreachableUntilMilliseconds ?? 0) > nowMilliseconds;
    }

    /** Tells whether others should be tried first; an upstream is tried again once its failures have aged. */
    isAvoided(upstream: string, nowMilliseconds: number): boolean {
        if (!this.#health.has(upstream)) {
            return false;
        }
        const health = this.#weigh(upstream, nowMilliseconds);
        const share = health.failures / (health.failures + health.successes);
        return health.failures >= FEWEST_FAILURES && share >= AVOIDED_FAILURE_SHARE;
    }

    forget(upstream: string): void {
        this.#health.delete(upstream);
    }

    #weigh(upstream: string, nowMilliseconds: number): Health {
        const health = this.#health.get(upstream) ?? {
            successes: 0,
            failures: 0,
            weighedAtMilliseconds: nowMilliseconds,
            unreachableUntilMilliseconds: 0,
        };
        this.#health.set(upstream, health);
        const factor = 0.5 ** ((nowMilliseconds - health.weighedAtMilliseconds) / HALF_LIFE_MILLISECONDS);
        health.successes *= factor;
        health.failures *= factor;
        health.weighedAtMilliseconds = nowMilliseconds;
        return health;
    }
}
