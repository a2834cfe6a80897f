/**
 * What engines report, and which report can tell of a restart.
 *
 * @module
 */
import { type EngineReport } from "../generated/upstreams.js";
import { type EngineState, subjectKey } from "./_engineState.js";
import { type ActiveHolder } from "./_holder.js";
import { isProvedCopy } from "./ledger.js";

const REPORT_INTERVAL_MILLISECONDS = 1_000;
const REPORT_TIMEOUT_MILLISECONDS = 5_000;

/** Asks an engine for its report when the last one is old, once its record is known. */
export function readReportIfDue(holder: ActiveHolder, state: EngineState, nowMilliseconds: number): void {
    const pending = state.pendingReport;
    const isUnderWay = pending !== undefined
        && nowMilliseconds - pending.sentAtMilliseconds < REPORT_TIMEOUT_MILLISECONDS;
    const isKnown = state.phase === "ready" || state.phase === "writing" || state.stamped;
    if (isUnderWay || !isKnown || nowMilliseconds < state.nextReportAtMilliseconds) {
        return;
    }
    const readIdentifier = holder.createIdentifier();
    const knownIncarnation = state.record?.incarnation;
    state.pendingReport = { readIdentifier, knownIncarnation, sentAtMilliseconds: nowMilliseconds };
    state.nextReportAtMilliseconds = nowMilliseconds + REPORT_INTERVAL_MILLISECONDS;
    holder.effects.push({ type: "read-report", engine: state.name, readIdentifier });
}

/**
 * Takes a report.
 *
 * Incarnations have no order, and a report can be late. Only the answer to a direct read that began when the record
 * already spoke of its present incarnation can name a newer one; any other report that differs only asks for such a
 * read.
 */
export function takeReport(
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
        state.running = report.running;
        noteUnreported(state, report, nowMilliseconds);
        return;
    }
    noteNewIncarnation(state, report, pending.sentAtMilliseconds);
}

/** Notes which proved copies the engine does not name; a report lags, so this says little at first. */
function noteUnreported(state: EngineState, report: EngineReport, nowMilliseconds: number): void {
    const named = new Set(report.models.map(({ name, version }) => `model ${name} ${version}`));
    const adapters = new Set(report.adapters);
    for (const entry of state.record?.entries ?? []) {
        const key = subjectKey(entry);
        const isNamed = entry.kind === "model" ? named.has(key) : adapters.has(entry.name);
        if (isNamed || !isProvedCopy(entry)) {
            state.unreported.delete(key);
        }
        else if (!state.unreported.has(key)) {
            state.unreported.set(key, nowMilliseconds);
        }
    }
}

function noteNewIncarnation(state: EngineState, report: EngineReport, askedAtMilliseconds: number): void {
    state.newIncarnation = report;
    state.confirmedAtMilliseconds = askedAtMilliseconds;
    state.backoffs.clear();
    state.lostLoads.clear();
    state.lostAdapters.clear();
    state.awaited.clear();
    state.unreported.clear();
    state.draining.clear();
}

/** Takes the word that an engine could not be reached. */
export function takeUnreachable(state: EngineState): void {
    state.pendingReport = undefined;
    state.reachable = false;
}
