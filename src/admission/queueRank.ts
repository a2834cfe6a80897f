/**
 * The order of waiting requests while capacity is short.
 *
 * @module
 */

/** Sort key of a waiting request; the lowest is dispatched first. */
export type QueueRank = readonly [priority: number, group: number, key: number];

/** Requests that wait for permits, and streams whose caller has a part already. */
const FIRST_GROUP = 0;
/** Requests that have waited half of what they may wait. */
const AGED_GROUP = 1;
const IN_TIME_GROUP = 2;
const LATE_GROUP = 3;
/** Added for requests of accounts that use more than their fair share. */
const OVER_SHARE_GROUPS = 2;

/** Share of what a request may wait from which it goes before others of its priority. */
const AGED_SHARE = 0.5;

/** What a waiting request's place depends on. */
export interface QueueRankInput {
    readonly priority: number;
    readonly arrivedAtMilliseconds: number;
    readonly targetLatencyMilliseconds: number;
    /** Usual time from when such a request is sent to its first event. */
    readonly firstEventMilliseconds: number;
    /** When it began to wait; `undefined` for one that does not wait yet. */
    readonly waitsSinceMilliseconds: number | undefined;
    readonly maximumWaitMilliseconds: number;
    readonly isOverFairShare: boolean;
    /** When the request began to wait for a permit; `undefined` where it waits for none. */
    readonly permitSinceMilliseconds: number | undefined;
    /** True for a stream of which the caller has a part already. */
    readonly isResumed: boolean;
}

/**
 * Returns the rank of a waiting request: by priority; then those that have waited half of what they may wait; then
 * accounts within their fair share; of these, those that can still meet their target, the least time left first.
 *
 * @param input The request.
 * @param nowMilliseconds The time.
 *
 * @example
 * ```ts
 * const rank = queueRank({ ...input, isOverFairShare: false, permitSinceMilliseconds: undefined }, now);
 * ```
 */
export function queueRank(input: QueueRankInput, nowMilliseconds: number): QueueRank {
    const { arrivedAtMilliseconds, maximumWaitMilliseconds, permitSinceMilliseconds, priority } = input;
    if (permitSinceMilliseconds !== undefined || input.isResumed) {
        return [priority, FIRST_GROUP, permitSinceMilliseconds ?? arrivedAtMilliseconds];
    }
    const waitedMilliseconds = nowMilliseconds - (input.waitsSinceMilliseconds ?? nowMilliseconds);
    if (waitedMilliseconds > 0 && waitedMilliseconds >= maximumWaitMilliseconds * AGED_SHARE) {
        return [priority, AGED_GROUP, arrivedAtMilliseconds];
    }
    const latestStartMilliseconds = arrivedAtMilliseconds + input.targetLatencyMilliseconds
        - input.firstEventMilliseconds;
    const isInTime = nowMilliseconds <= latestStartMilliseconds;
    const group = (isInTime ? IN_TIME_GROUP : LATE_GROUP) + (input.isOverFairShare ? OVER_SHARE_GROUPS : 0);
    return [priority, group, isInTime ? latestStartMilliseconds : arrivedAtMilliseconds];
}

/** Compares ranks for a sort of the first to be dispatched first. */
export function compareQueueRanks(left: QueueRank, right: QueueRank): number {
    return left[0] - right[0] || left[1] - right[1] || left[2] - right[2];
}
