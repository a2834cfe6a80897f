/**
 * What callers were told and what a plain service ran, checked against the promises about orders.
 *
 * @module
 */
import { type OrderOutcome } from "../../src/generated/peers.js";

/** One run of an order by the plain service. */
export interface Run {
    readonly key: string;
    readonly bodyHash: string;
    readonly at: number;
    readonly result: string;
}

/** One outcome that a caller was given. */
export interface ReportedOutcome {
    readonly key: string;
    readonly bodyHash: string;
    readonly at: number;
    readonly outcome: OrderOutcome;
    /** Whether any copy of the key had been passed towards the plain service by then. */
    readonly dispatched: boolean;
}

/** A history of one run of the fabric. */
export interface History {
    readonly runs: Run[];
    readonly told: ReportedOutcome[];
    /** Faults that the fabric itself notices: a second reply, a reply after abandonment, an endless wait. */
    readonly faults: string[];
}

/** Refusals that concern this request only: the same key may be repeated, and may run then. */
const REPEATABLE_REASONS = new Set(["store-unavailable", "queue-full", "configuration-missing"]);

function checkTold({ key, bodyHash, at, outcome }: ReportedOutcome, runs: readonly Run[]): string[] {
    const name = `${key} at ${at}`;
    if (outcome.type === "answered") {
        const genuine = runs.some(run => run.bodyHash === bodyHash && run.result === outcome.result.body);
        return genuine ? [] : [`${name}: answered with a result that no run of this order gave`];
    }
    if (outcome.ran !== "not-run") {
        return [];
    }
    const forever = !REPEATABLE_REASONS.has(outcome.reason);
    const contradicting = runs.find(run => run.at <= at || forever);
    return contradicting === undefined
        ? []
        : [`${name}: told ${outcome.reason} not-run, but it ran at ${contradicting.at}`];
}

/**
 * Lists each promise that a history breaks.
 *
 * @returns A sentence for each broken promise; empty for a sound history.
 */
export function findViolations({ runs, told, faults }: History): string[] {
    const runsByKey = new Map<string, Run[]>();
    for (const run of runs) {
        runsByKey.set(run.key, [...runsByKey.get(run.key) ?? [], run]);
    }
    const doubled = [...runsByKey].filter(([, all]) => all.length > 1).map(([key, all]) =>
        `${key} ran ${all.length} times`
    );
    return [...faults, ...doubled, ...told.flatMap(entry => checkTold(entry, runsByKey.get(entry.key) ?? []))];
}
