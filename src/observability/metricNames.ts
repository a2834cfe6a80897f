/**
 * The one list of metric names; `docs/METRICS.md` is checked against it by a test.
 *
 * @module
 */
import { type RefusalReason, refusalReasonSchema } from "../generated/callers.js";

/** What a metric measures. */
export interface MetricDefinition {
    readonly kind: "counter" | "timing" | "gauge";
    readonly description: string;
    readonly tags: readonly string[];
}

const RETRY_REASONS = [
    "not-started",
    "connection-lost",
    "silent",
    "engine-busy",
    "not-resident",
    "incomplete",
    "rejected",
    "engine-crashed",
    "not-sent",
    "owner-unreachable",
    "witness-unreachable",
    "idempotent-call-failed",
] as const;

/** Why an attempt is made again; each has its own counter. */
export type RetryReason = typeof RETRY_REASONS[number];

const GENERAL_METRICS = {
    "requests.accepted": { kind: "counter", description: "Requests taken from callers.", tags: ["class"] },
    "requests.finished": { kind: "counter", description: "Requests answered whole.", tags: ["class", "within_target"] },
    "requests.cancelled": { kind: "counter", description: "Requests whose caller went away.", tags: [] },
    "requests.attempts": { kind: "counter", description: "Attempts on engines.", tags: [] },
    "requests.first_token": {
        kind: "timing",
        description: "From arrival to the first token, in milliseconds.",
        tags: ["class"],
    },
    "orders.accepted": { kind: "counter", description: "Calls of plain services taken.", tags: ["service"] },
    "orders.answered": { kind: "counter", description: "Calls answered by their plain service.", tags: ["service"] },
    "orders.may_have_run": {
        kind: "counter",
        description: "Calls refused without proof that they did not run.",
        tags: ["service"],
    },
    "residency.loads": { kind: "counter", description: "Load orders sent.", tags: ["pool", "kind"] },
    "residency.evictions": { kind: "counter", description: "Evict orders sent.", tags: ["pool", "kind"] },
    "residency.role_changes": { kind: "counter", description: "Role orders sent.", tags: ["pool"] },
    "residency.copies": {
        kind: "gauge",
        description: "Proved model copies in a pool that this host holds.",
        tags: ["pool"],
    },
    "leases.held": { kind: "gauge", description: "Duties that this host holds.", tags: [] },
    "configuration.revision": { kind: "gauge", description: "Revision in force on this host.", tags: [] },
    "membership.peers": { kind: "gauge", description: "Live peers.", tags: [] },
    "platform.errors": {
        kind: "counter",
        description: "Calls on the platform without a usable answer.",
        tags: ["kind"],
    },
} satisfies Readonly<Record<string, MetricDefinition>>;

/** A metric that is in the list. */
export type MetricName = keyof typeof GENERAL_METRICS | `refusals.${RefusalReason}` | `retries.${RetryReason}`;

function counterPerReason(
    group: string,
    reasons: readonly string[],
    description: string,
): [string, MetricDefinition][] {
    return reasons.map(
        reason => [`${group}.${reason}`, { kind: "counter", description: `${description} \`${reason}\`.`, tags: [] }],
    );
}

/** Every metric by its name. */
export const METRICS: Readonly<Record<string, MetricDefinition>> = {
    ...GENERAL_METRICS,
    ...Object.fromEntries(counterPerReason("refusals", refusalReasonSchema.options, "Refusals for the reason")),
    ...Object.fromEntries(counterPerReason("retries", RETRY_REASONS, "Retries for the reason")),
};

/**
 * Renders the list of metrics as a Markdown table.
 *
 * @example
 * ```ts
 * await writeFile("docs/METRICS.md", renderMetricsTable());
 * ```
 */
export function renderMetricsTable(): string {
    const rows = Object.entries(METRICS).map(([name, metric]) => {
        const tags = metric.tags.map(tag => `\`${tag}\``).join(", ");
        return `| \`${name}\` | ${metric.kind} | ${tags} | ${metric.description} |`;
    });
    return ["| name | kind | tags | meaning |", "|---|---|---|---|", ...rows, ""].join("\n");
}
