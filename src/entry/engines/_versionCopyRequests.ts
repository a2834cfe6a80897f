/**
 * Bounds how often this host tells the planner which models streams need at which version.
 *
 * @module
 */
import { type VersionCopyNeed } from "../../placement/index.js";
import { RecentMessages } from "./_recentMessages.js";

/** The planner forgets a need that is not repeated for several times as long. */
const INTERVAL_MILLISECONDS = 500;

/** When each need was last passed on. */
export class VersionCopyRequests {
    readonly #recent = new RecentMessages(INTERVAL_MILLISECONDS);

    /** Returns whether a need is to be passed on now, and counts it as passed on if so. */
    isDue({ model, service, version }: VersionCopyNeed, nowMilliseconds: number): boolean {
        const parts = [service, model, version];
        if (this.#recent.has(parts, nowMilliseconds)) {
            return false;
        }
        this.#recent.record(parts, nowMilliseconds);
        return true;
    }
}
