/**
 * All StatsD metrics of a host. A test compares `docs/METRICS.md` with this list.
 *
 * @module
 */
import { type RefusalReason, refusalReasonSchema } from "../generated/callers.js";

/** Kind, description and tags of a metric. */
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

/** Reason for a retry; each has a counter of its own. */
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
    "answers.broken": {
        kind: "counter",
        description: "Answers that were broken and not taken, by what they were read for and what was wrong with them.",
        tags: ["reader", "fault"],
    },
    "platform.errors": {
        kind: "counter",
        description: "Calls on the platform without a usable answer.",
        tags: ["kind"],
    },
} satisfies Readonly<Record<string, MetricDefinition>>;

/** Name of a metric in `METRICS`. */
export type MetricName = keyof typeof GENERAL_METRICS | `refusals.${RefusalReason}` | `retries.${RetryReason}`;

function createReasonCounters(
    group: string,
    reasons: readonly string[],
    description: string,
): [string, MetricDefinition][] {
    return reasons.map(
        reason => [`${group}.${reason}`, { kind: "counter", description: `${description} \`${reason}\`.`, tags: [] }],
    );
}

/** All metrics by name. */
export const METRICS: Readonly<Record<string, MetricDefinition>> = {
    ...GENERAL_METRICS,
    ...Object.fromEntries(createReasonCounters("refusals", refusalReasonSchema.options, "Refusals for the reason")),
    ...Object.fromEntries(createReasonCounters("retries", RETRY_REASONS, "Retries for the reason")),
};

/**
 * Renders all metrics as a Markdown table, for the end of `docs/METRICS.md`.
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
