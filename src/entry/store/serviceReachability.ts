/**
 * Tracks whether the key-value service answers this host.
 *
 * @module
 */
import { type Logger } from "../../observability/index.js";

/** An answer of the service is recent for this long; holders' renewals are more frequent. */
const RECENT_ANSWER_MILLISECONDS = 700;

const MILLISECONDS_PER_SECOND = 1_000;

/** Options of the reachability state. */
export interface ServiceReachabilityOptions {
    readonly logger: Logger;
    readonly readClock: () => number;
    /** Returns the revision up to which this host knows the service's entries, for the log. */
    readonly revision: () => number | undefined;
    /** The last answer of the service is no longer recent. */
    readonly onUnresponsive: () => void;
}

/** Tracks when the service last answered, and logs when it becomes unreachable or reachable again. */
export class ServiceReachability {
    readonly #options: ServiceReachabilityOptions;
    #answeredAtMilliseconds = Number.NEGATIVE_INFINITY;
    #reachable = true;
    #unresponsiveTimer: NodeJS.Timeout | undefined;
    #closed = false;

    constructor(options: ServiceReachabilityOptions) {
        this.#options = options;
    }

    /** Records the outcome of a call. */
    recordOutcome(succeeded: boolean): void {
        if (succeeded && !this.#closed) {
            this.#answeredAtMilliseconds = this.#options.readClock();
            clearTimeout(this.#unresponsiveTimer);
            this.#unresponsiveTimer = setTimeout(this.#options.onUnresponsive, RECENT_ANSWER_MILLISECONDS);
        }
        if (succeeded !== this.#reachable) {
            this.#reachable = succeeded;
            this.#options.logger.warn(succeeded ? "key-value service regained" : "key-value service lost", {
                revision: this.#options.revision(),
            });
        }
    }

    /** False once a call has failed, until one succeeds. */
    get reachable(): boolean {
        return this.#reachable;
    }

    /** Returns whether the last answer is recent. */
    hasRecentAnswer(): boolean {
        return this.#options.readClock() - this.#answeredAtMilliseconds < RECENT_ANSWER_MILLISECONDS;
    }

    /** Returns the time since the last answer, in seconds. */
    secondsSinceAnswer(): number {
        return Math.max(0, this.#options.readClock() - this.#answeredAtMilliseconds) / MILLISECONDS_PER_SECOND;
    }

    close(): void {
        this.#closed = true;
        clearTimeout(this.#unresponsiveTimer);
    }
}
