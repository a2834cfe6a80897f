/**
 * The reports of upstreams to this host that they are leaving, which its digests repeat to peers for a time.
 *
 * @module
 */
import { type UpstreamIncarnation } from "../../fleet/index.js";

/** How long digests report that an upstream is leaving; covers several digests, since any one may be lost. */
const LEAVING_REPORT_MILLISECONDS = 3_000;

interface LeavingReport {
    readonly incarnation: UpstreamIncarnation;
    readonly atMilliseconds: number;
}

/** Incarnations that reported to this host that they are leaving, with the time of the report. */
export class LeavingReports {
    readonly #reports = new Map<string, LeavingReport>();

    /** Records the report of an incarnation. */
    record(incarnation: UpstreamIncarnation, nowMilliseconds: number): void {
        this.#reports.set(incarnation.id, { incarnation, atMilliseconds: nowMilliseconds });
    }

    /** Returns the incarnations whose reports are recent, and drops the others. */
    recent(nowMilliseconds: number): UpstreamIncarnation[] {
        for (const [id, { atMilliseconds }] of this.#reports) {
            if (nowMilliseconds - atMilliseconds > LEAVING_REPORT_MILLISECONDS) {
                this.#reports.delete(id);
            }
        }
        return [...this.#reports.values()].map(({ incarnation }) => incarnation);
    }
}
