/**
 * Upstreams that several hosts cannot reach.
 *
 * @module
 */

/** A host's word that it cannot reach an upstream counts for this long. */
const REPORT_MILLISECONDS = 1_000;

/** Hosts that must agree, since one that is cut off finds everything unreachable. */
const AGREEING_HOSTS = 2;

/**
 * Counts which hosts could not reach an upstream a moment ago.
 *
 * @example
 * ```ts
 * const down = new DownReports();
 * down.note("engine-3", "entry-1", now);
 * down.note("engine-3", "entry-2", now);
 * down.isDown("engine-3", now); // true
 * ```
 */
export class UnreachableReports {
    readonly #reports = new Map<string, Map<string, number>>();

    record(upstream: string, host: string, nowMilliseconds: number): void {
        const reports = this.#reports.get(upstream) ?? new Map<string, number>();
        this.#reports.set(upstream, reports);
        reports.set(host, nowMilliseconds);
    }

    isDown(upstream: string, nowMilliseconds: number): boolean {
        const reports = this.#reports.get(upstream);
        if (reports === undefined) {
            return false;
        }
        const fresh = [...reports.values()].filter(at => nowMilliseconds - at < REPORT_MILLISECONDS);
        return fresh.length >= AGREEING_HOSTS;
    }

    /** A connection stood, or the upstream is gone. */
    clear(upstream: string): void {
        this.#reports.delete(upstream);
    }

    /** Gives the upstreams that a host could not reach a moment ago. */
    reportedBy(host: string, nowMilliseconds: number): string[] {
        return [...this.#reports].flatMap(([upstream, reports]) => {
            const at = reports.get(host);
            return at !== undefined && nowMilliseconds - at < REPORT_MILLISECONDS ? [upstream] : [];
        });
    }
}
