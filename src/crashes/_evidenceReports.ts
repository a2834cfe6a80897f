/**
 * Describes the evidence that hosts report to each other.
 *
 * @module
 */
import { type CrashLog, type Loss, type Run } from "./_crashLog.js";
import { REPEAT_MILLISECONDS } from "./_reportLimits.js";
import { type CrashEvidence, type LostRun } from "./types.js";

/** Limits of the lists in a report, which share a datagram with the rest of a digest. */
const MAXIMUM_EVIDENCE = 64;
const MAXIMUM_EVIDENCE_CHARACTERS = 16_000;
const MAXIMUM_RUNS = 16;

/** Returns the evidence of runs that changed a short time ago, as much as fits into a report. */
export function describeRecentLosses(
    log: CrashLog,
    isIncluded: (loss: Loss) => boolean,
    nowMilliseconds: number,
): CrashEvidence[] {
    const changed = [...log.runs()].filter(({ changedAtMilliseconds }) =>
        nowMilliseconds - changedAtMilliseconds <= REPEAT_MILLISECONDS
    );
    return withinReport(describeLosses(changed, isIncluded, nowMilliseconds));
}

/** Returns the latest evidence that fits into a report; names of parts come from callers and may be long. */
function withinReport(evidence: readonly CrashEvidence[]): CrashEvidence[] {
    let characters = 0;
    const latest = evidence.slice(-MAXIMUM_EVIDENCE).reverse();
    const fitting = latest.filter(entry => {
        characters += JSON.stringify(entry).length;
        return characters <= MAXIMUM_EVIDENCE_CHARACTERS;
    });
    return fitting.reverse();
}

/** Describes losses for peers: those on crashed incarnations, and others that have parts to suspect. */
export function describeLosses(
    runs: readonly Run[],
    isIncluded: (loss: Loss) => boolean,
    nowMilliseconds: number,
): CrashEvidence[] {
    const described = new Map<string, { readonly loss: Loss; readonly runs: LostRun[]; }>();
    for (const { atMilliseconds, incarnation, isCrash, losses } of runs) {
        const ageMilliseconds = Math.max(0, Math.round(nowMilliseconds - atMilliseconds));
        const included = [...losses.values()].filter(loss => isIncluded(loss) && (isCrash || loss.parts.length > 0));
        for (const loss of included) {
            const entry = described.get(loss.fingerprint) ?? { loss, runs: [] };
            entry.runs.push({ incarnation, ageMilliseconds, isCrash });
            described.set(loss.fingerprint, entry);
        }
    }
    return [...described.values()].map(({ loss, runs: lostRuns }) => ({
        fingerprint: loss.fingerprint,
        runs: lostRuns.slice(-MAXIMUM_RUNS),
        parts: loss.parts,
    }));
}
