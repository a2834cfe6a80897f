/**
 * The records of a soak by type, and what its checks ask of them.
 *
 * @module
 */
import {
    type LeaveRecord,
    type LifeRecord,
    type RequestRecord,
    type RunRecord,
    type SignalRecord,
    type SoakRecord,
    type TroubleRecord,
} from "./records.js";

/** A trouble counts for this time after its end. */
const AFTER_TROUBLE_MILLISECONDS = 3_000;

/** The records of a soak by type. */
export interface SortedRecords {
    readonly requests: readonly RequestRecord[];
    readonly runs: ReadonlyMap<string, readonly RunRecord[]>;
    readonly signals: readonly SignalRecord[];
    readonly lives: readonly LifeRecord[];
    readonly troubles: readonly TroubleRecord[];
    readonly leaves: readonly LeaveRecord[];
}

/** Sorts the records of a soak by type, and the executions by request. */
export function sortRecords(records: readonly SoakRecord[]): SortedRecords {
    const ofType = <T extends SoakRecord["type"]>(type: T): Extract<SoakRecord, { readonly type: T; }>[] =>
        records.filter((record): record is Extract<SoakRecord, { readonly type: T; }> => record.type === type);
    const runs = new Map<string, RunRecord[]>();
    for (const run of ofType("run")) {
        runs.set(run.id, [...runs.get(run.id) ?? [], run]);
    }
    return {
        requests: ofType("request"),
        runs,
        signals: ofType("signal"),
        lives: ofType("life"),
        troubles: ofType("trouble"),
        leaves: ofType("leave"),
    };
}

/** Describes a request for a violation. */
export function describeRequest({ host, id, kind, status }: RequestRecord): string {
    return `${kind} ${id} at ${host}, status ${status ?? "none"}`;
}

/** Returns whether a host, an engine or the store was in trouble within a time, or shortly before it. */
export function isTroubled(troubles: readonly TroubleRecord[], target: string, from: number, until: number): boolean {
    return troubles.some(trouble =>
        trouble.targets.includes(target) && trouble.from <= until
        && trouble.until + AFTER_TROUBLE_MILLISECONDS >= from
    );
}
