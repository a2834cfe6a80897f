/**
 * How long a request may wait before it is refused.
 *
 * @module
 */
import { type Route } from "../routes/index.js";

/** Callers abandon a stream that is silent for this long, however short its target is. */
const SHORTEST_PATIENCE_MILLISECONDS = 2_000;

/** Callers abandon a stream that is silent for so many times its target. */
const PATIENCE_TARGETS = 4;

/** Share of a caller's patience after which a request that still waits is refused, so that the refusal arrives. */
const USED_PATIENCE_SHARE = 0.8;

/** Share of a request's time that it may wait; the rest is for another try and for the answer. */
const WAIT_SHARE = 0.3;

/** Callers come back no later than after this share of the time that they have left. */
const COME_BACK_SHARE = 0.3;

/** Shortest time after which a refused caller should come back. */
const SOONEST_RETURN_MILLISECONDS = 150;

/**
 * Gives the longest time that a request of a route may wait for an upstream.
 *
 * @param route The route.
 * @param limitMilliseconds Time that the request had at its arrival.
 *
 * @example
 * ```ts
 * const longest = longestWait(route, 15_000);
 * ```
 */
export function maximumWaitMilliseconds(route: Route, limitMilliseconds: number): number {
    const patience = route.kind === "event-stream"
        ? Math.max(SHORTEST_PATIENCE_MILLISECONDS, route.targetLatencyMilliseconds * PATIENCE_TARGETS)
        : limitMilliseconds;
    return Math.min(patience * USED_PATIENCE_SHARE, limitMilliseconds * WAIT_SHARE);
}

/**
 * Gives when a refused caller should come back: when what it needs is expected, within what it would wait for.
 *
 * @param expectedMilliseconds Time until the request could be served.
 * @param remainingMilliseconds Time that the caller has left.
 * @param spread Random number of at least 0 and below 1, so that callers do not come back together.
 *
 * @example
 * ```ts
 * const retryAfter = returnAfter(2_000, 14_000, Math.random());
 * ```
 */
export function retryDelayMilliseconds(
    expectedMilliseconds: number,
    remainingMilliseconds: number,
    spread: number,
): number {
    const latest = remainingMilliseconds * COME_BACK_SHARE;
    const wanted = Math.max(SOONEST_RETURN_MILLISECONDS, expectedMilliseconds) * (0.8 + spread * 0.4);
    return Math.round(Math.max(0, Math.min(wanted, latest)));
}
