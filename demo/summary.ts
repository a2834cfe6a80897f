/**
 * Renders what the demo's load met.
 *
 * @module
 */
import { type Observation } from "./load.js";

/** What the summary is made of. */
export interface SummaryParts {
    readonly observations: readonly Observation[];
    /** Each host's `/v1/status`. */
    readonly statuses: readonly unknown[];
    /** State of the plain service stand-in. */
    readonly plain: unknown;
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

function renderKind(kind: Observation["kind"], parts: SummaryParts): string {
    const ofKind = parts.observations.filter(observation => observation.kind === kind);
    const answered = ofKind.filter(({ outcome }) => outcome === "answered");
    const timely = answered.filter(({ firstTokenMilliseconds = 0 }) =>
        firstTokenMilliseconds <= parts.targetMilliseconds
    );
    const target = kind === "urgent"
        ? `, ${timely.length} with the first token within ${parts.targetMilliseconds} ms`
        : "";
    return `  ${kind.padEnd(16)} ${ofKind.length} sent, ${answered.length} answered${target}`;
}

function renderHost(status: HostStatus): string {
    const { totals } = status;
    const held = Object.entries(status.pools).filter(([, { holds }]) => holds).map(([pool]) => pool);
    const total = (name: string) => totals[name] ?? 0;
    return [
        `  ${status.identity.host} (${status.identity.zone})`,
        `requests ${total("requests.accepted")}`,
        `attempts ${total("requests.attempts")}`,
        `calls ${total("orders.accepted")}`,
        `loads ${total("residency.loads")}`,
        `evictions ${total("residency.evictions")}`,
        `holds ${held.length === 0 ? "no pool" : held.join(", ")}`,
    ].join(", ");
}

/**
 * Renders the summary of a demo run.
 *
 * @param parts What the load met and what hosts and stand-ins say.
 *
 * @example
 * ```ts
 * console.log(renderSummary({ observations, statuses, plain, targetMilliseconds: 600 }));
 * ```
 */
export function renderSummary(parts: SummaryParts): string {
    const refusals = parts.observations.filter(({ outcome }) => outcome === "refused");
    const reasons = countBy(refusals, ({ reason, ran }) => `${reason ?? "unknown"} (${ran ?? "unknown"})`);
    const statuses = parts.statuses.filter(status => status !== undefined) as HostStatus[];
    const moves = statuses.reduce(
        (sum, { totals }) => sum + (totals["residency.loads"] ?? 0) + (totals["residency.evictions"] ?? 0),
        0,
    );
    const plain = parts.plain as { readonly violations: readonly string[]; readonly totalRuns: number; };
    return [
        "",
        "requests by class",
        ...(["urgent", "patient", "order", "idempotent-call"] as const).map(kind => renderKind(kind, parts)),
        "refusals by reason",
        ...(reasons.length === 0 ? ["  none"] : reasons.map(([reason, count]) => `  ${reason}: ${count}`)),
        "plain service",
        `  ${plain.totalRuns} calls run, ${plain.violations.length} orders run more than once`,
        `moves (loads and evictions of models and adapters): ${moves}`,
        "hosts",
        ...statuses.map(status => renderHost(status)),
        "",
    ].join("\n");
}
