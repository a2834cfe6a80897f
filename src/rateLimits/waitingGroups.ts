/**
 * Requests that wait for permits, counted by priority.
 *
 * @module
 */
import { type WaitingGroup } from "../generated/gossip.js";

/** Less urgent requests are counted with this priority, which bounds the number of groups. */
const LOWEST_PRIORITY = 15;

/** A request that needs a permit. */
export interface WaitingRequest {
    readonly id: string;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** When it began to wait; the present time if it does not wait yet. */
    readonly sinceMilliseconds: number;
}

/** Returns whether a request comes before another: it is more urgent, or as urgent and has waited longer. */
export function isBefore(left: WaitingRequest, right: WaitingRequest): boolean {
    return left.priority === right.priority
        ? left.sinceMilliseconds < right.sinceMilliseconds
        : left.priority < right.priority;
}

/** Returns the groups of some requests, the most urgent first. */
export function groupWaiting(requests: Iterable<WaitingRequest>, nowMilliseconds: number): WaitingGroup[] {
    const groups: WaitingGroup[] = [];
    for (const { priority, sinceMilliseconds } of requests) {
        groups.push({
            priority: Math.min(LOWEST_PRIORITY, Math.max(0, Math.trunc(priority))),
            count: 1,
            waitedMilliseconds: Math.max(0, Math.round(nowMilliseconds - sinceMilliseconds)),
        });
    }
    return mergeGroups(groups);
}

/** Adds up groups of the same priority; the most urgent first. */
export function mergeGroups(groups: readonly WaitingGroup[]): WaitingGroup[] {
    const merged = new Map<number, WaitingGroup>();
    for (const group of groups) {
        const { count, waitedMilliseconds } = merged.get(group.priority) ?? { count: 0, waitedMilliseconds: 0 };
        merged.set(group.priority, {
            priority: group.priority,
            count: count + group.count,
            waitedMilliseconds: Math.max(waitedMilliseconds, group.waitedMilliseconds),
        });
    }
    return [...merged.values()].sort((left, right) => left.priority - right.priority);
}

/** Removes a number of requests from the most urgent groups. */
export function removeMostUrgent(groups: readonly WaitingGroup[], count: number): WaitingGroup[] {
    let remaining = count;
    return groups.flatMap(group => {
        const removed = Math.min(remaining, group.count);
        remaining -= removed;
        return removed === group.count ? [] : [{ ...group, count: group.count - removed }];
    });
}

/** Returns the number of requests that are at least as urgent as a priority. */
export function countUpTo(groups: readonly WaitingGroup[], priority: number): number {
    const upTo = groups.filter(group => group.priority <= Math.min(LOWEST_PRIORITY, priority));
    return upTo.reduce((total, { count }) => total + count, 0);
}
