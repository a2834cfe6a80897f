/**
 * Checks the requests that reached an upstream against the rate limits that it named.
 *
 * @module
 */

/** Length of the windows in which requests are counted. */
const WINDOW_MILLISECONDS = 4_000;

/** Windows are checked from this time after an upstream first named a limit. */
const SETTLING_MILLISECONDS = 3_000;

/** Requests of a host count from this time after the host received an answer that named a limit. */
const REACTION_MILLISECONDS = 500;

/** Requests in a window may exceed the limit by this factor, and by a number of requests. */
const ALLOWED_FACTOR = 1.5;
const ALLOWED_EXTRA = 5;

const MILLISECONDS_PER_SECOND = 1_000;

/** A request that reached the upstream. */
export interface LimitArrival {
    readonly host: string;
    readonly atMilliseconds: number;
}

/** A limit from the time that the upstream first named it. */
export interface LimitStep {
    readonly atMilliseconds: number;
    /** `undefined` from when the upstream no longer named one. */
    readonly requestsPerSecond: number | undefined;
}

/** What an upstream named and received. */
export interface LimitHistory {
    /** In order of time; the first one names a limit. */
    readonly steps: readonly LimitStep[];
    /** In order of time. */
    readonly arrivals: readonly LimitArrival[];
    /** When each host first received an answer that named a limit. */
    readonly toldAtMilliseconds: ReadonlyMap<string, number>;
    /** Returns whether a host's requests at a time are excused by its restart, freeze or partition. */
    readonly isExcused?: (arrival: LimitArrival) => boolean;
}

/** The window with the most requests in relation to those allowed. */
export interface WorstWindow {
    readonly endMilliseconds: number;
    readonly requests: number;
    readonly allowed: number;
}

/** Returns the requests that the limits permit within an interval, before the allowance. */
function permittedBetween(steps: readonly LimitStep[], beginMilliseconds: number, endMilliseconds: number): number {
    return steps.reduce((total, { atMilliseconds, requestsPerSecond = 0 }, index) => {
        const begin = index === 0 ? beginMilliseconds : Math.max(beginMilliseconds, atMilliseconds);
        const end = Math.min(endMilliseconds, steps[index + 1]?.atMilliseconds ?? endMilliseconds);
        return total + Math.max(0, end - begin) * requestsPerSecond / MILLISECONDS_PER_SECOND;
    }, 0);
}

function limitedPeriod(steps: readonly LimitStep[]): readonly [begin: number, end: number] {
    const withdrawn = steps.find(({ requestsPerSecond }) => requestsPerSecond === undefined);
    return [
        (steps[0]?.atMilliseconds ?? 0) + SETTLING_MILLISECONDS,
        withdrawn?.atMilliseconds ?? Number.POSITIVE_INFINITY,
    ];
}

/** Returns the arrivals that count: those of hosts that had known of a limit for a while, and were not excused. */
function countedArrivals({ arrivals, isExcused, toldAtMilliseconds }: LimitHistory): readonly LimitArrival[] {
    return arrivals.filter(arrival => {
        const toldAt = toldAtMilliseconds.get(arrival.host) ?? Number.POSITIVE_INFINITY;
        return arrival.atMilliseconds >= toldAt + REACTION_MILLISECONDS && isExcused?.(arrival) !== true;
    });
}

/**
 * Finds the window with the most requests in relation to those allowed; any span of its length counts.
 *
 * @param history What the upstream named and received.
 *
 * @example
 * ```ts
 * const { requests, allowed } = findWorstWindow(history);
 * assert.ok(requests <= allowed);
 * ```
 */
export function findWorstWindow(history: LimitHistory): WorstWindow {
    const counted = countedArrivals(history);
    const [begin, end] = limitedPeriod(history.steps);
    let worst: WorstWindow = { endMilliseconds: begin, requests: 0, allowed: ALLOWED_EXTRA };
    let first = 0;
    counted.forEach(({ atMilliseconds }, index) => {
        while ((counted[first]?.atMilliseconds ?? atMilliseconds) < atMilliseconds - WINDOW_MILLISECONDS) {
            first += 1;
        }
        if (atMilliseconds < begin || atMilliseconds > end) {
            return;
        }
        const permitted = permittedBetween(history.steps, atMilliseconds - WINDOW_MILLISECONDS, atMilliseconds);
        const allowed = permitted * ALLOWED_FACTOR + ALLOWED_EXTRA;
        const requests = index - first + 1;
        if (requests / allowed > worst.requests / worst.allowed) {
            worst = { endMilliseconds: atMilliseconds, requests, allowed };
        }
    });
    return worst;
}

/** Returns the requests that arrived within an interval as a share of those that the limits permit. */
export function usedShare(history: LimitHistory, beginMilliseconds: number, endMilliseconds: number): number {
    const arrived = history.arrivals.filter(({ atMilliseconds }) =>
        atMilliseconds >= beginMilliseconds && atMilliseconds < endMilliseconds
    );
    return arrived.length / permittedBetween(history.steps, beginMilliseconds, endMilliseconds);
}
