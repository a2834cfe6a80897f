/**
 * Outcomes that callers received and executions of a plain service, checked against the guarantees for orders.
 *
 * @module
 */
import { type OrderOutcome } from "../../src/generated/peers.js";

/** One execution of an order by the plain service. */
export interface Execution {
    readonly key: string;
    readonly bodyHash: string;
    readonly at: number;
    readonly result: string;
}

/** One outcome that a caller received. */
export interface ReportedOutcome {
    readonly key: string;
    readonly bodyHash: string;
    readonly at: number;
    readonly outcome: OrderOutcome;
    /** True where an order with this key had been dispatched to the plain service by then. */
    readonly dispatched: boolean;
}

/** Record of one simulation of the fabric. */
export interface History {
    readonly executions: Execution[];
    readonly reportedOutcomes: ReportedOutcome[];
    /** Faults that the fabric and its callers detect: a second reply, a reply after abandonment, a wait without end. */
    readonly faults: string[];
}

/** Reasons of refusals that apply to one attempt only: the same key may be sent again, and may run then. */
const RETRYABLE_REASONS = new Set(["store-unavailable", "queue-full", "configuration-missing"]);

function checkOutcome({ key, bodyHash, at, outcome }: ReportedOutcome, executions: readonly Execution[]): string[] {
    const name = `${key} at ${at}`;
    if (outcome.type === "answered") {
        const matchesExecution = executions.some(execution =>
            execution.bodyHash === bodyHash && execution.result === outcome.result.body
        );
        return matchesExecution ? [] : [`${name}: answered with a result that no execution of this order produced`];
    }
    if (outcome.ran !== "not-run") {
        return [];
    }
    const isFinal = !RETRYABLE_REASONS.has(outcome.reason);
    const contradicting = executions.find(execution => execution.at <= at || isFinal);
    return contradicting === undefined
        ? []
        : [`${name}: answered ${outcome.reason} not-run, but it ran at ${contradicting.at}`];
}

/**
 * Lists the violated guarantees of a history.
 *
 * @returns One text for each violation.
 */
export function findViolations({ executions, reportedOutcomes, faults }: History): string[] {
    const executionsByKey = new Map<string, Execution[]>();
    for (const execution of executions) {
        executionsByKey.set(execution.key, [...executionsByKey.get(execution.key) ?? [], execution]);
    }
    const repeated = [...executionsByKey].filter(([, all]) => all.length > 1).map(([key, all]) =>
        `${key} ran ${all.length} times`
    );
    return [
        ...faults,
        ...repeated,
        ...reportedOutcomes.flatMap(entry => checkOutcome(entry, executionsByKey.get(entry.key) ?? [])),
    ];
}
