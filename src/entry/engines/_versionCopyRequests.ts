/**
 * Bounds how often this host tells the planner which models streams need at which version.
 *
 * @module
 */
import { type VersionCopyNeed } from "../../placement/index.js";

/** The planner forgets a need that is not repeated for several times as long. */
const INTERVAL_MILLISECONDS = 500;

/** When each need was last passed on. */
export class VersionCopyRequests {
    readonly #sentAtMilliseconds = new Map<string, number>();

    /** Returns whether a need is to be passed on now, and counts it as passed on if so. */
    isDue({ model, service, version }: VersionCopyNeed, nowMilliseconds: number): boolean {
        for (const [key, atMilliseconds] of this.#sentAtMilliseconds) {
            if (nowMilliseconds - atMilliseconds >= INTERVAL_MILLISECONDS) {
                this.#sentAtMilliseconds.delete(key);
            }
        }
        const key = JSON.stringify([service, model, version]);
        if (this.#sentAtMilliseconds.has(key)) {
            return false;
        }
        this.#sentAtMilliseconds.set(key, nowMilliseconds);
        return true;
    }
}
