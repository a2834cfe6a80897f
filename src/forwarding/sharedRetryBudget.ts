/**
 * This host's part of the retries that all hosts together may send to a service.
 *
 * @module
 */

/** Kept free, since hosts do not see the same requests and the same hosts. */
const SAFETY_SHARE = 0.8;

/** Least number of hosts to share with, while a host that has just started does not know the others. */
const FEWEST_HOSTS = 3;

/** The bound on the retries of a service. */
export interface RetryBound {
    readonly windowMilliseconds: number;
    /** Retries allowed for each request of the window. */
    readonly ratio: number;
    /** Retries that all hosts together may make beyond those, in a window. */
    readonly extra: number;
}

interface Account {
    readonly requests: number[];
    readonly retries: number[];
}

function dropBefore(times: number[], limit: number): void {
    let count = 0;
    while (count < times.length && (times[count] ?? limit) < limit) {
        count += 1;
    }
    times.splice(0, count);
}

/**
 * Counts requests and retries of each service over a sliding window. The share of requests that becomes retries is the
 * same on every host; the extra is split over the most hosts that were ever known, so that a host which sees fewer than
 * there are does not take more than its part.
 *
 * @example
 * ```ts
 * const budget = new SharedRetryBudget({ windowMilliseconds: 10_000, ratio: 0.2, extra: 58 });
 * budget.recordRequest("mill-orders", now);
 * const allowed = budget.tryTake("mill-orders", now);
 * ```
 */
export class SharedRetryBudget {
    readonly #bound: RetryBound;
    readonly #accounts = new Map<string, Account>();
    #mostHosts = FEWEST_HOSTS;

    constructor(bound: RetryBound) {
        this.#bound = bound;
    }

    /** Takes how many hosts are known by now, this one included. */
    setHostCount(count: number): void {
        this.#mostHosts = Math.max(this.#mostHosts, count);
    }

    recordRequest(service: string, nowMilliseconds: number): void {
        this.#account(service, nowMilliseconds).requests.push(nowMilliseconds);
    }

    /** Takes one retry; false, and nothing taken, where the window has no room. */
    tryTake(service: string, nowMilliseconds: number): boolean {
        const account = this.#account(service, nowMilliseconds);
        if (account.retries.length + 1 > this.#allowed(account)) {
            return false;
        }
        account.retries.push(nowMilliseconds);
        return true;
    }

    /** Gives how many retries the window has room for. */
    remaining(service: string, nowMilliseconds: number): number {
        const account = this.#account(service, nowMilliseconds);
        return Math.max(0, Math.floor(this.#allowed(account) - account.retries.length));
    }

    #allowed(account: Account): number {
        const { ratio, extra } = this.#bound;
        return SAFETY_SHARE * (ratio * account.requests.length + extra / this.#mostHosts);
    }

    #account(service: string, nowMilliseconds: number): Account {
        const account = this.#accounts.get(service) ?? { requests: [], retries: [] };
        this.#accounts.set(service, account);
        dropBefore(account.requests, nowMilliseconds - this.#bound.windowMilliseconds);
        dropBefore(account.retries, nowMilliseconds - this.#bound.windowMilliseconds);
        return account;
    }
}
