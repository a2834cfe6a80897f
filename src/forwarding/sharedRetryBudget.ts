/**
 * Limits this host's retries to its share of those that all hosts together may send to a service.
 *
 * @module
 */

/** Share of the limit that is used; the remainder allows for hosts that see different requests and different hosts. */
const USABLE_SHARE = 0.8;

/** Minimum number of hosts to divide the extra by, since a host that has just started does not know the others. */
const MINIMUM_HOSTS = 3;

/** The limit on the retries of a service. */
export interface RetryLimit {
    readonly windowMilliseconds: number;
    /** Retries per request within a window. */
    readonly ratio: number;
    /** Further retries of all hosts together within a window. */
    readonly extra: number;
}

/** Times of a service's requests and retries within the window, in order. */
interface ServiceHistory {
    readonly requests: number[];
    readonly retries: number[];
}

function dropBefore(times: number[], oldestMilliseconds: number): void {
    let count = 0;
    while (count < times.length && (times[count] ?? oldestMilliseconds) < oldestMilliseconds) {
        count += 1;
    }
    times.splice(0, count);
}

/**
 * Counts requests and retries of each service over a sliding window. The ratio of retries to requests is the same on
 * every host. The extra is divided by the largest number of hosts ever known, so that a host that sees fewer hosts than
 * there are does not exceed its share.
 *
 * @example
 * ```ts
 * const budget = new SharedRetryBudget({ windowMilliseconds: 10_000, ratio: 0.2, extra: 58 });
 * budget.recordRequest("mill-orders", now);
 * const allowed = budget.tryConsume("mill-orders", now);
 * ```
 */
export class SharedRetryBudget {
    readonly #limit: RetryLimit;
    readonly #histories = new Map<string, ServiceHistory>();
    #maximumHosts = MINIMUM_HOSTS;

    constructor(limit: RetryLimit) {
        this.#limit = limit;
    }

    /** Records the number of known hosts, this one included; a smaller number than before has no effect. */
    setHostCount(count: number): void {
        this.#maximumHosts = Math.max(this.#maximumHosts, count);
    }

    recordRequest(service: string, nowMilliseconds: number): void {
        this.#history(service, nowMilliseconds).requests.push(nowMilliseconds);
    }

    /** Counts a retry where the window has room for it; returns false, and counts nothing, where it has none. */
    tryConsume(service: string, nowMilliseconds: number): boolean {
        const history = this.#history(service, nowMilliseconds);
        if (history.retries.length + 1 > this.#allowed(history)) {
            return false;
        }
        history.retries.push(nowMilliseconds);
        return true;
    }

    /** Returns how many retries the window has room for. */
    remaining(service: string, nowMilliseconds: number): number {
        const history = this.#history(service, nowMilliseconds);
        return Math.max(0, Math.floor(this.#allowed(history) - history.retries.length));
    }

    #allowed(history: ServiceHistory): number {
        const { ratio, extra } = this.#limit;
        return USABLE_SHARE * (ratio * history.requests.length + extra / this.#maximumHosts);
    }

    #history(service: string, nowMilliseconds: number): ServiceHistory {
        const history = this.#histories.get(service) ?? { requests: [], retries: [] };
        this.#histories.set(service, history);
        dropBefore(history.requests, nowMilliseconds - this.#limit.windowMilliseconds);
        dropBefore(history.retries, nowMilliseconds - this.#limit.windowMilliseconds);
        return history;
    }
}
