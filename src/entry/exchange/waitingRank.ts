/**
 * The order of waiting requests.
 *
 * @module
 */
import { type Route } from "../../routes/index.js";

/**
 * Sort key of waiting requests: by priority, then streams whose caller has a part already, then those within their target
 * latency, then by arrival.
 */
export type WaitingRank = readonly [priority: number, group: number, arrivedAtMilliseconds: number];

/** Requests that wait for permits, and streams whose caller has a part already. */
const FIRST_GROUP = 0;
const IN_TIME_GROUP = 1;
const LATE_GROUP = 2;

/** What a waiting request's rank depends on. */
export interface RankInput {
    readonly route: Pick<Route, "priority" | "targetLatencyMilliseconds">;
    readonly arrivedAtMilliseconds: number;
    /** When the request began to wait for a permit; `undefined` where it waits for none. */
    readonly permitSinceMilliseconds: number | undefined;
    /** True for a stream of which the caller has a part already. */
    readonly isResumed: boolean;
}

/**
 * Returns the rank of a waiting request; permits are used in the order in which requests began to wait for them.
 *
 * @param input The request.
 * @param nowMilliseconds The time.
 *
 * @example
 * ```ts
 * const rank = waitingRank({ route, arrivedAtMilliseconds, permitSinceMilliseconds: undefined, isResumed: false }, now);
 * ```
 */
export function waitingRank(
    { arrivedAtMilliseconds, isResumed, permitSinceMilliseconds, route }: RankInput,
    nowMilliseconds: number,
): WaitingRank {
    if (permitSinceMilliseconds !== undefined || isResumed) {
        return [route.priority, FIRST_GROUP, permitSinceMilliseconds ?? arrivedAtMilliseconds];
    }
    const isLate = nowMilliseconds - arrivedAtMilliseconds > route.targetLatencyMilliseconds;
    return [route.priority, isLate ? LATE_GROUP : IN_TIME_GROUP, arrivedAtMilliseconds];
}

/** Compares ranks for a sort of the most urgent first. */
export function compareRanks(left: WaitingRank, right: WaitingRank): number {
    return left[0] - right[0] || left[1] - right[1] || left[2] - right[2];
}
