/**
 * Reads engines' reports, and decides which report can show that an engine has restarted.
 *
 * @module
 */
import { type EngineReport } from "../generated/upstreams.js";
import { type EngineState, subjectKey } from "./_engineState.js";
import { type ActiveHolder } from "./_holder.js";
import { isProvedCopy } from "./ledger.js";

const REPORT_INTERVAL_MILLISECONDS = 1_000;
const REPORT_TIMEOUT_MILLISECONDS = 5_000;

/** Requests an engine's report at intervals, once its record is known. */
export function readReportIfDue(holder: ActiveHolder, state: EngineState, nowMilliseconds: number): void {
    const pending = state.pendingReport;
    const isInProgress = pending !== undefined
        && nowMilliseconds - pending.sentAtMilliseconds < REPORT_TIMEOUT_MILLISECONDS;
    const isKnown = state.phase === "ready" || state.phase === "writing" || state.hasStoredEpoch;
    if (isInProgress || !isKnown || nowMilliseconds < state.nextReportAtMilliseconds) {
        return;
    }
    const readIdentifier = holder.createIdentifier();
    const knownIncarnation = state.record?.incarnation;
    state.pendingReport = { readIdentifier, knownIncarnation, sentAtMilliseconds: nowMilliseconds };
    state.nextReportAtMilliseconds = nowMilliseconds + REPORT_INTERVAL_MILLISECONDS;
    holder.effects.push({ type: "read-report", engine: state.name, readIdentifier });
}

/**
 * Handles a report.
 *
 * Incarnations have no order, and a report can be late. A different incarnation is known to be newer only in the answer
 * to a direct read that began when the record already had its current incarnation; in any other report, it only causes
 * such a read.
 */
export function handleReport(
    state: EngineState,
    report: EngineReport,
    readIdentifier: string | undefined,
    nowMilliseconds: number,
): void {
    const pending = state.pendingReport;
    if (pending === undefined || pending.readIdentifier !== readIdentifier) {
        if (state.record !== undefined && report.incarnation !== state.record.incarnation) {
            state.nextReportAtMilliseconds = nowMilliseconds;
        }
        return;
    }
    state.pendingReport = undefined;
    if (pending.knownIncarnation !== state.record?.incarnation) {
        state.nextReportAtMilliseconds = nowMilliseconds;
        return;
    }
    state.reachable = true;
    state.leaving = report.leaving;
    if (report.incarnation === state.record?.incarnation) {
        state.confirmedAtMilliseconds = pending.sentAtMilliseconds;
        state.runningRequests = report.running;
        recordUnreportedCopies(state, report, nowMilliseconds);
        return;
    }
    recordNewIncarnation(state, report, pending.sentAtMilliseconds);
}

/** Records since when the engine does not report a proved copy; reports lag, so a short time is inconclusive. */
function recordUnreportedCopies(state: EngineState, report: EngineReport, nowMilliseconds: number): void {
    const reported = new Set(report.models.map(({ name, version }) => `model ${name} ${version}`));
    const adapters = new Set(report.adapters);
    for (const entry of state.record?.entries ?? []) {
        const key = subjectKey(entry);
        const isReported = entry.kind === "model" ? reported.has(key) : adapters.has(entry.name);
        if (isReported || !isProvedCopy(entry)) {
            state.unreportedSince.delete(key);
        }
        else if (!state.unreportedSince.has(key)) {
            state.unreportedSince.set(key, nowMilliseconds);
        }
    }
}

function recordNewIncarnation(state: EngineState, report: EngineReport, requestedAtMilliseconds: number): void {
    state.newIncarnation = report;
    state.confirmedAtMilliseconds = requestedAtMilliseconds;
    state.backoffs.clear();
    state.unansweredLoads.clear();
    state.unansweredAdapterLoads.clear();
    state.awaitedOrders.clear();
    state.unreportedSince.clear();
    state.drainingSince.clear();
}

/** Records that an engine could not be reached. */
export function recordUnreachable(state: EngineState): void {
    state.pendingReport = undefined;
    state.reachable = false;
}
