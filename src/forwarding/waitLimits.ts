/**
 * Limits on how long a request may wait, and when a refused caller should retry.
 *
 * @module
 */
import { type Route } from "../routes/index.js";

/** Callers wait at least this long on a stream that sends nothing, however short its target latency is. */
const MINIMUM_CALLER_TIME_LIMIT_MILLISECONDS = 2_000;

/** Callers abandon a stream that sends nothing for this many times its target latency. */
const CALLER_TIME_LIMIT_TARGET_FACTOR = 4;

/** Share of the caller's time limit that a request may wait, so that a refusal arrives before the caller leaves. */
const CALLER_TIME_LIMIT_SHARE = 0.8;

/** Share of a request's time that it may wait; the remainder is for another attempt and for the answer. */
const WAIT_SHARE = 0.3;

/** Maximum retry delay, as a share of the caller's remaining time. */
const MAXIMUM_RETRY_DELAY_SHARE = 0.3;

/** Minimum retry delay of a refused caller, before it is spread. */
const MINIMUM_RETRY_DELAY_MILLISECONDS = 150;

/**
 * Returns the maximum time that a request of a route may wait for an upstream.
 *
 * @param route The route.
 * @param limitMilliseconds Time until the request's deadline, measured at its arrival.
 *
 * @example
 * ```ts
 * const maximumWait = maximumWaitMilliseconds(route, 15_000);
 * ```
 */
export function maximumWaitMilliseconds(route: Route, limitMilliseconds: number): number {
    const callerTimeLimitMilliseconds = route.kind === "event-stream"
        ? Math.max(
            MINIMUM_CALLER_TIME_LIMIT_MILLISECONDS,
            route.targetLatencyMilliseconds * CALLER_TIME_LIMIT_TARGET_FACTOR,
        )
        : limitMilliseconds;
    return Math.min(callerTimeLimitMilliseconds * CALLER_TIME_LIMIT_SHARE, limitMilliseconds * WAIT_SHARE);
}

/**
 * Returns the delay after which a refused caller should retry: the expected time until the request can be served,
 * limited to a share of the caller's remaining time.
 *
 * @param expectedMilliseconds Time until the request could be served.
 * @param remainingMilliseconds Remaining time of the caller.
 * @param spread Random number of at least 0 and below 1, so that callers do not retry simultaneously.
 *
 * @example
 * ```ts
 * const retryAfter = retryDelayMilliseconds(2_000, 14_000, Math.random());
 * ```
 */
export function retryDelayMilliseconds(
    expectedMilliseconds: number,
    remainingMilliseconds: number,
    spread: number,
): number {
    const maximumDelayMilliseconds = remainingMilliseconds * MAXIMUM_RETRY_DELAY_SHARE;
    const preferredDelayMilliseconds = Math.max(MINIMUM_RETRY_DELAY_MILLISECONDS, expectedMilliseconds)
        * (0.8 + spread * 0.4);
    return Math.round(Math.max(0, Math.min(preferredDelayMilliseconds, maximumDelayMilliseconds)));
}
