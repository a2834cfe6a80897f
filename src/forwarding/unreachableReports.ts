/**
 * Detects upstreams that several hosts cannot reach.
 *
 * @module
 */

/** Time for which a host's report that it cannot reach an upstream counts. */
const REPORT_LIFETIME_MILLISECONDS = 1_000;

/** Minimum number of reporting hosts; a single host that is partitioned finds every upstream unreachable. */
const MINIMUM_REPORTING_HOSTS = 2;

/**
 * Records which hosts recently could not reach an upstream.
 *
 * @example
 * ```ts
 * const reports = new UnreachableReports();
 * reports.record("engine-3", "entry-1", now);
 * reports.record("engine-3", "entry-2", now);
 * reports.isUnreachable("engine-3", now); // true
 * ```
 */
export class UnreachableReports {
    readonly #reports = new Map<string, Map<string, number>>();

    record(upstream: string, host: string, nowMilliseconds: number): void {
        const reports = this.#reports.get(upstream) ?? new Map<string, number>();
        this.#reports.set(upstream, reports);
        reports.set(host, nowMilliseconds);
    }

    /** Returns whether enough hosts recently reported the upstream unreachable. */
    isUnreachable(upstream: string, nowMilliseconds: number): boolean {
        const reports = this.#reports.get(upstream);
        if (reports === undefined) {
            return false;
        }
        const recent = [...reports.values()].filter(at => nowMilliseconds - at < REPORT_LIFETIME_MILLISECONDS);
        return recent.length >= MINIMUM_REPORTING_HOSTS;
    }

    /** Drops an upstream's reports, because a connection to it was established or because it was removed. */
    clear(upstream: string): void {
        this.#reports.delete(upstream);
    }

    /** Returns the upstreams that a host recently could not reach. */
    reportedBy(host: string, nowMilliseconds: number): string[] {
        return [...this.#reports].flatMap(([upstream, reports]) => {
            const at = reports.get(host);
            return at !== undefined && nowMilliseconds - at < REPORT_LIFETIME_MILLISECONDS ? [upstream] : [];
        });
    }
}
