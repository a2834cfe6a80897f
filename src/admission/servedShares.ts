/**
 * Which priorities and accounts are served too seldom.
 *
 * @module
 */

/** Time after which the end of a request counts half. */
const HALF_LIFE_MILLISECONDS = 10_000;

/** Requests, as far as they still count, from which a share is known. */
const MINIMUM_REQUESTS = 4;

/** Share of what all get that each priority and account gets; above the bound of a quarter, since shares lag. */
const MINIMUM_SHARE = 0.3;

/** Shares of which no request has ended for this time are forgotten. */
const LIFETIME_MILLISECONDS = 60_000;

interface Share {
    requests: number;
    served: number;
    updatedAtMilliseconds: number;
}

/**
 * Compares how often requests with something in common are served with how often all of their service are.
 *
 * @example
 * ```ts
 * const shares = new ServedShares();
 * shares.record("chat", ["chat p3"], false, now);
 * const isUnderserved = shares.isUnderserved("chat", "chat p3");
 * ```
 */
export class ServedShares {
    readonly #shares = new Map<string, Share>();

    /**
     * Records that a request was sent to an upstream, or ended without.
     *
     * @param all What all requests of its service are counted as.
     * @param keys What else it is counted as.
     * @param isServed True where it was sent.
     * @param nowMilliseconds The time.
     */
    record(all: string, keys: readonly string[], isServed: boolean, nowMilliseconds: number): void {
        for (const key of [all, ...keys]) {
            const share = this.#shares.get(key)
                ?? { requests: 0, served: 0, updatedAtMilliseconds: nowMilliseconds };
            const kept = 0.5 ** (Math.max(0, nowMilliseconds - share.updatedAtMilliseconds) / HALF_LIFE_MILLISECONDS);
            share.requests = share.requests * kept + 1;
            share.served = share.served * kept + (isServed ? 1 : 0);
            share.updatedAtMilliseconds = nowMilliseconds;
            this.#shares.set(key, share);
        }
    }

    /** Returns whether requests of a kind are served less than a bounded share as often as all of their service. */
    isUnderserved(all: string, key: string): boolean {
        const total = this.#shares.get(all);
        const share = this.#shares.get(key);
        return total !== undefined && share !== undefined && share.requests >= MINIMUM_REQUESTS
            && share.served / share.requests < MINIMUM_SHARE * total.served / total.requests;
    }

    /** Forgets what has not been requested for long. */
    prune(nowMilliseconds: number): void {
        for (const [key, { updatedAtMilliseconds }] of this.#shares) {
            if (nowMilliseconds - updatedAtMilliseconds > LIFETIME_MILLISECONDS) {
                this.#shares.delete(key);
            }
        }
    }
}
