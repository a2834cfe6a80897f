/**
 * Finds requests that reached engines which had left, and requests whose callers had left.
 *
 * @module
 */
import { type LeaveRecord, type RequestRecord, type RunRecord, STORE, type Violation } from "./records.js";
import { DRAIN_MILLISECONDS } from "./settings.js";
import { describeRequest, isTroubled, type SortedRecords } from "./sortedRecords.js";

/** A request may still reach an engine for this time after its caller has left. */
const GONE_MILLISECONDS = 500;

/** As many requests may reach engines later than that. */
const FEW_REQUESTS = 3;

function isUndrained(run: RunRecord, leave: LeaveRecord, host: string, { troubles }: SortedRecords): boolean {
    return run.engine === leave.engine
        && run.at > leave.at + DRAIN_MILLISECONDS
        && !isTroubled(troubles, host, leave.at, run.at)
        && !isTroubled(troubles, STORE, leave.at, run.at);
}

/** Finds executions at engines that had left for longer than the time in which they take requests. */
export function findUndrained(records: SortedRecords): Violation[] {
    return records.leaves.flatMap(leave =>
        records.requests.flatMap(request =>
            (records.runs.get(request.id) ?? []).filter(run => isUndrained(run, leave, request.host, records)).map(
                ({ at, engine }) => ({
                    rule: "DRAIN" as const,
                    at,
                    message: `${describeRequest(request)}, reached ${engine} ${
                        Math.round(at - leave.at)
                    } ms after that had left`,
                }),
            )
        )
    );
}

function reachedEngineAfterLeaving(request: RequestRecord, { runs, troubles }: SortedRecords): boolean {
    const latest = Math.max(...(runs.get(request.id) ?? []).map(({ at }) => at));
    return request.ending === "left"
        && latest > request.endedAt + GONE_MILLISECONDS
        && !isTroubled(troubles, request.host, request.startedAt, latest);
}

/** Finds requests that reached engines after their callers had left, where they are more than a few. */
export function findGone(records: SortedRecords): Violation[] {
    const late = records.requests.filter(request => reachedEngineAfterLeaving(request, records));
    return late.length <= FEW_REQUESTS ? [] : [{
        rule: "GONE",
        at: late[0]?.endedAt ?? 0,
        message:
            `${late.length} requests reached engines more than ${GONE_MILLISECONDS} ms after their callers had left, ${
                late.map(describeRequest).slice(0, FEW_REQUESTS).join("; ")
            }`,
    }];
}
