/**
 * Whether the key-value service answers this host.
 *
 * @module
 */
import { type Logger } from "../observability/index.js";

/** The service counts as answering for this long after it did; renewals come more often. */
const ANSWERS_MILLISECONDS = 700;

const MILLISECONDS_PER_SECOND = 1_000;

/** Options of the contact. */
export interface ServiceReachabilityOptions {
    readonly logger: Logger;
    readonly readClock: () => number;
    /** Revision up to which this host knows the service's entries, for the log. */
    readonly revision: () => number | undefined;
    /** The service has not answered for as long as it counts as answering. */
    readonly onFellSilent: () => void;
}

/** Keeps when the service answered last, and says so when that changes. */
export class ServiceReachability {
    readonly #options: ServiceReachabilityOptions;
    #answeredAtMilliseconds = Number.NEGATIVE_INFINITY;
    #reachable = true;
    #silenceTimer: NodeJS.Timeout | undefined;
    #closed = false;

    constructor(options: ServiceReachabilityOptions) {
        this.#options = options;
    }

    /** Takes the outcome of a call. */
    recordOutcome(succeeded: boolean): void {
        if (succeeded && !this.#closed) {
            this.#answeredAtMilliseconds = this.#options.readClock();
            clearTimeout(this.#silenceTimer);
            this.#silenceTimer = setTimeout(this.#options.onFellSilent, ANSWERS_MILLISECONDS);
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

    /** True where the service answered lately. */
    answers(): boolean {
        return this.#options.readClock() - this.#answeredAtMilliseconds < ANSWERS_MILLISECONDS;
    }

    /** Time since the last answer. */
    silenceSeconds(): number {
        const silence = this.#options.readClock() - this.#answeredAtMilliseconds;
        return Math.max(0, silence / MILLISECONDS_PER_SECOND);
    }

    close(): void {
        this.#closed = true;
        clearTimeout(this.#silenceTimer);
    }
}
