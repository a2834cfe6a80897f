/**
 * Renders a summary of the outcomes of the demo's requests.
 *
 * @module
 */
import { type Observation } from "./load.js";

/** Data that the summary is rendered from. */
export interface SummaryInput {
    readonly observations: readonly Observation[];
    /** Answer of each host to `/v1/status`. */
    readonly statuses: readonly unknown[];
    /** State of the plain service stand-in. */
    readonly plainServiceState: unknown;
    readonly targetMilliseconds: number;
}

interface HostStatus {
    readonly identity: { readonly host: string; readonly zone: string; };
    readonly pools: Readonly<Record<string, { readonly holds: boolean; }>>;
    readonly totals: Readonly<Record<string, number>>;
}

function countBy<Item>(items: readonly Item[], keyOf: (item: Item) => string): [string, number][] {
    const counts = new Map<string, number>();
    for (const item of items) {
        const key = keyOf(item);
        counts.set(key, (counts.get(key) ?? 0) + 1);
    }
    return [...counts].sort(([left], [right]) => left < right ? -1 : 1);
}

function renderKind(kind: Observation["kind"], input: SummaryInput): string {
    const observationsOfKind = input.observations.filter(observation => observation.kind === kind);
    const answered = observationsOfKind.filter(({ outcome }) => outcome === "answered");
    const withinTarget = answered.filter(({ firstTokenMilliseconds = 0 }) =>
        firstTokenMilliseconds <= input.targetMilliseconds
    );
    const target = kind === "urgent"
        ? `, ${withinTarget.length} with the first token within ${input.targetMilliseconds} ms`
        : "";
    return `  ${kind.padEnd(16)} ${observationsOfKind.length} sent, ${answered.length} answered${target}`;
}

function renderHost(status: HostStatus): string {
    const { totals } = status;
    const held = Object.entries(status.pools).filter(([, { holds }]) => holds).map(([pool]) => pool);
    const totalOf = (name: string) => totals[name] ?? 0;
    return [
        `  ${status.identity.host} (${status.identity.zone})`,
        `requests ${totalOf("requests.accepted")}`,
        `attempts ${totalOf("requests.attempts")}`,
        `calls ${totalOf("orders.accepted")}`,
        `loads ${totalOf("residency.loads")}`,
        `evictions ${totalOf("residency.evictions")}`,
        `holds ${held.length === 0 ? "no pool" : held.join(", ")}`,
    ].join(", ");
}

/**
 * Renders the summary of a demo run.
 *
 * @param input Outcomes of the requests, and the states of hosts and of the plain service.
 *
 * @example
 * ```ts
 * console.log(renderSummary({ observations, statuses, plainServiceState, targetMilliseconds: 600 }));
 * ```
 */
export function renderSummary(input: SummaryInput): string {
    const refusals = input.observations.filter(({ outcome }) => outcome === "refused");
    const reasons = countBy(refusals, ({ reason, ran }) => `${reason ?? "unknown"} (${ran ?? "unknown"})`);
    const statuses = input.statuses.filter(status => status !== undefined) as HostStatus[];
    const loadsAndEvictions = statuses.reduce(
        (sum, { totals }) => sum + (totals["residency.loads"] ?? 0) + (totals["residency.evictions"] ?? 0),
        0,
    );
    const plainService = input.plainServiceState as {
        readonly violations: readonly string[];
        readonly totalRuns: number;
    };
    return [
        "",
        "requests by class",
        ...(["urgent", "patient", "order", "idempotent-call"] as const).map(kind => renderKind(kind, input)),
        "refusals by reason",
        ...(reasons.length === 0 ? ["  none"] : reasons.map(([reason, count]) => `  ${reason}: ${count}`)),
        "plain service",
        `  ${plainService.totalRuns} calls run, ${plainService.violations.length} orders run more than once`,
        `moves (loads and evictions of models and adapters): ${loadsAndEvictions}`,
        "hosts",
        ...statuses.map(status => renderHost(status)),
        "",
    ].join("\n");
}
