/**
 * Finds broken promises in the records of a soak.
 *
 * @module
 */
import { findGone, findUndrained } from "./departures.js";
import {
    type LifeRecord,
    type RequestRecord,
    type RunRecord,
    type SignalRecord,
    type SoakRecord,
    STORE,
    type Violation,
} from "./records.js";
import { describeRequest, isTroubled, type SortedRecords, sortRecords } from "./sortedRecords.js";

/** A process is ready within this time of its start. */
const READY_MILLISECONDS = 10_000;

/** A host has read a request whose connection stays open for this time after its last byte. */
const READ_MILLISECONDS = 200;

/** A request may end unanswered once it has used this part of its time. */
const USED_TIME_PART = 0.7;

/** Statuses that promise that the request has not run and never will. */
const PROMISING_STATUSES: ReadonlySet<number | undefined> = new Set([408, 421, 429, 503]);

/** Statuses of requests that no configuration allows. */
const DENYING_STATUSES: ReadonlySet<number> = new Set([401, 403, 404]);

/** Returns true where a signal of the soak explains how a process ended. */
function isExpectedEnd({ exit, pid }: LifeRecord, signals: readonly SignalRecord[]): boolean {
    const sent = new Set(signals.filter(signal => signal.pid === pid).map(({ signal }) => signal));
    const isStopped = sent.has("SIGTERM") && (exit?.code === 0 || exit?.signal === "SIGTERM");
    return exit === undefined || isStopped || (exit.signal === "SIGKILL" && sent.has("SIGKILL"));
}

function findEnds({ lives, signals }: SortedRecords): Violation[] {
    return lives.filter(life => !isExpectedEnd(life, signals)).map(({ endedAt, exit, host, pid, startedAt }) => ({
        rule: "FAULT",
        at: endedAt,
        message: `${host} (process ${pid}) ended by itself ${
            Math.round(endedAt - startedAt)
        } ms after its start, code ${exit?.code ?? "none"}, signal ${exit?.signal ?? "none"}`,
    }));
}

function findLargeProcesses({ lives }: SortedRecords, memoryBytes: number): Violation[] {
    return lives.filter(({ peakBytes }) => peakBytes > memoryBytes).map(({ endedAt, host, peakBytes, pid }) => ({
        rule: "FAULT",
        at: endedAt,
        message: `${host} (process ${pid}) had ${Math.round(peakBytes / 1e6)} of ${memoryBytes / 1e6} MB`,
    }));
}

function findLateStarts({ lives, signals, troubles }: SortedRecords): Violation[] {
    return lives.filter(({ endedAt, pid, readyAt, startedAt }) => {
        const dueAt = startedAt + READY_MILLISECONDS;
        const isDisturbed = signals.some(({ at, pid: signalled }) => signalled === pid && at <= dueAt)
            || isTroubled(troubles, STORE, startedAt, dueAt);
        return !isDisturbed && endedAt >= dueAt && (readyAt === undefined || readyAt > dueAt);
    }).map(({ host, pid, readyAt, startedAt }) => ({
        rule: "FAULT",
        at: startedAt + READY_MILLISECONDS,
        message: `${host} (process ${pid}) was not ready ${READY_MILLISECONDS} ms after its start at ${
            Math.round(startedAt)
        }, but ${readyAt === undefined ? "never" : `after ${Math.round(readyAt - startedAt)} ms`}`,
    }));
}

function findUnserved({ requests }: SortedRecords): Violation[] {
    const isServed = requests.some(({ ending, status }) => ending === "answered" && status === 200);
    return isServed ? [] : [{ rule: "FAULT", at: 0, message: "no request was served" }];
}

function findRepeated({ requests, runs }: SortedRecords): Violation[] {
    return requests.filter(({ kind }) => kind === "order" || kind === "chat").flatMap(request => {
        const executions = runs.get(request.id) ?? [];
        return executions.length < 2 ? [] : [{
            rule: "TWICE",
            at: executions[1]?.at ?? 0,
            message: `${describeRequest(request)}, ran at ${executions.map(({ engine }) => engine).join(" and ")}`,
        }];
    });
}

function findBrokenPromises({ requests, runs }: SortedRecords): Violation[] {
    const isPromised = ({ ending, kind, status }: RequestRecord): boolean =>
        ending === "answered" && PROMISING_STATUSES.has(status) && (kind === "order" || kind === "chat");
    return requests.filter(request => isPromised(request) && runs.has(request.id)).map(request => ({
        rule: "REFUSED",
        at: request.endedAt,
        message: `${describeRequest(request)}, ran at ${runs.get(request.id)?.[0]?.engine ?? ""}`,
    }));
}

/** Returns what is wrong with an answer that looks complete. */
function findMixture(request: RequestRecord, runs: readonly RunRecord[]): string | undefined {
    const { answeredId, digest, ending, id, signature, status = 0 } = request;
    if (ending === "garbled") {
        return "bytes that are no answer";
    }
    const isSuccess = status >= 200 && status < 300;
    if (ending !== "answered" || (!isSuccess && signature === undefined)) {
        return undefined;
    }
    const run = runs.find(one => one.signature === signature);
    if (run === undefined) {
        return `signature ${signature ?? "missing"} of no engine that ran it`;
    }
    if (run.status !== status) {
        return `the engine's status was ${run.status}`;
    }
    if (answeredId !== undefined && answeredId !== id) {
        return `answer of ${answeredId}`;
    }
    return isSuccess && digest !== run.digest ? "not the engine's whole body" : undefined;
}

function findMixed({ requests, runs }: SortedRecords): Violation[] {
    return requests.flatMap(request => {
        const mixture = findMixture(request, runs.get(request.id) ?? []);
        return mixture === undefined
            ? []
            : [{ rule: "MIXED", at: request.endedAt, message: `${describeRequest(request)}: ${mixture}` }];
    });
}

/** Returns true where a host had read a request that ended without an answer, though nothing kept it from one. */
function isLost(request: RequestRecord, { lives, runs, troubles }: SortedRecords): boolean {
    const { deadlineMilliseconds, endedAt, ending, host, id, isSlow, startedAt, writtenAt } = request;
    const executions = runs.get(id) ?? [];
    const wasRead = executions.length > 0 || (writtenAt !== undefined && endedAt - writtenAt > READ_MILLISECONDS);
    const usedItsTime = endedAt - startedAt >= USED_TIME_PART * deadlineMilliseconds;
    if (ending !== "broken" || isSlow || !wasRead || usedItsTime) {
        return false;
    }
    const isExcused = executions.some(({ engine, isSound }) =>
        !isSound || isTroubled(troubles, engine, startedAt, endedAt)
    );
    const hostEnded = lives.some(life =>
        life.host === host && life.exit !== undefined && life.endedAt >= startedAt - READ_MILLISECONDS
        && life.startedAt <= endedAt && life.endedAt <= endedAt + READ_MILLISECONDS
    );
    return !isExcused && !hostEnded && !isTroubled(troubles, host, startedAt, endedAt);
}

function findLost(records: SortedRecords): Violation[] {
    return records.requests.filter(request => isLost(request, records)).map(request => ({
        rule: "LOST",
        at: request.endedAt,
        message: `${describeRequest(request)}, ended after ${Math.round(request.endedAt - request.startedAt)} ms, ran ${
            records.runs.get(request.id)?.length ?? 0
        } times`,
    }));
}

/** Finds executions of requests for another account than the caller's, or with the caller's key. */
function findMisattributed({ requests, runs }: SortedRecords): Violation[] {
    return requests.flatMap(request =>
        (runs.get(request.id) ?? []).filter(run => run.hasKey || run.account !== request.account).map(run => ({
            rule: "UNASKED" as const,
            at: run.at,
            message: `${describeRequest(request)} ran at ${run.engine} for account ${run.account ?? "none"}${
                run.hasKey ? ", with a key" : ""
            }`,
        }))
    );
}

/** Finds requests that were refused although their key and their route were in force all the time. */
function findDenied({ requests }: SortedRecords): Violation[] {
    return requests.filter(({ status }) => status !== undefined && DENYING_STATUSES.has(status)).map(request => ({
        rule: "DENIED" as const,
        at: request.endedAt,
        message: `${describeRequest(request)}, status ${request.status ?? "none"}`,
    }));
}

/**
 * Finds all broken promises.
 *
 * @param records What callers, engines and the supervisor saw, in any order.
 * @param memoryBytes Memory of the machine of each host.
 * @returns The violations in order of time; none for a soak that passes.
 *
 * @example
 * ```ts
 * const violations = judge(records, 350e6);
 * ```
 */
export function judge(records: readonly SoakRecord[], memoryBytes: number): readonly Violation[] {
    const sorted = sortRecords(records);
    return [
        ...findEnds(sorted),
        ...findLargeProcesses(sorted, memoryBytes),
        ...findLateStarts(sorted),
        ...findUnserved(sorted),
        ...findRepeated(sorted),
        ...findBrokenPromises(sorted),
        ...findMixed(sorted),
        ...findMisattributed(sorted),
        ...findDenied(sorted),
        ...findLost(sorted),
        ...findUndrained(sorted),
        ...findGone(sorted),
    ].sort((first, second) => first.at - second.at);
}
