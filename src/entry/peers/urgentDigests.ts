/**
 * Digests before the next one is due, for news of crashes and of rate limits.
 *
 * @module
 */
import { type CrashAttribution } from "../../crashes/index.js";
import { type LimitChange } from "../../rateLimits/index.js";

/** Delay of additional digests that carry news of crashes; several events of one crash come together. */
const CRASH_NEWS_DELAY_MILLISECONDS = 20;

/** Minimum interval of additional digests for limits that upstreams name or withdraw. */
const LIMIT_PUBLISH_INTERVAL_MILLISECONDS = 200;

/** Options of {@linkcode UrgentDigests}. */
export interface UrgentDigestsOptions {
    readonly crashes: CrashAttribution;
    readonly readClock: () => number;
    /** Returns whether this host publishes its cell's aggregate to other cells. */
    readonly publishesAggregates: () => boolean;
    /** Publishes a digest to the own cell, and to other cells where this host represents its cell. */
    readonly publish: () => void;
    /** Returns how long earlier digests that wait take to leave at least, before which none is published. */
    readonly backlogMilliseconds: () => number;
}

/**
 * Publishes additional digests for what peers should learn soon.
 *
 * @example
 * ```ts
 * const urgent = new UrgentDigests({ crashes, readClock, publishesAggregates, publish, backlogMilliseconds });
 * urgent.scheduleCrashNews();
 * urgent.close();
 * ```
 */
export class UrgentDigests {
    readonly #options: UrgentDigestsOptions;
    #crashNewsTimer: NodeJS.Timeout | undefined;
    #limitPublishedAtMilliseconds = Number.NEGATIVE_INFINITY;
    #closed = false;

    constructor(options: UrgentDigestsOptions) {
        this.#options = options;
    }

    /** Publishes a new or withdrawn limit to peers at once, but not more often than some times a second. */
    publishLimitChange({ previousRequestsPerSecond, requestsPerSecond }: LimitChange): void {
        const now = this.#options.readClock();
        const beginsOrEnds = previousRequestsPerSecond === undefined || requestsPerSecond === undefined;
        const isDue = now - this.#limitPublishedAtMilliseconds >= LIMIT_PUBLISH_INTERVAL_MILLISECONDS;
        if (beginsOrEnds && isDue) {
            this.#limitPublishedAtMilliseconds = now;
            this.#options.publish();
        }
    }

    /** Publishes news of crashes before the next digest is due, a few times since datagrams may be lost. */
    scheduleCrashNews(): void {
        if (!this.#closed && this.#hasCrashNews()) {
            const delay = Math.max(CRASH_NEWS_DELAY_MILLISECONDS, this.#options.backlogMilliseconds());
            this.#crashNewsTimer ??= setTimeout(() => this.#publishCrashNews(), delay);
        }
    }

    close(): void {
        this.#closed = true;
        clearTimeout(this.#crashNewsTimer);
    }

    #publishCrashNews(): void {
        this.#crashNewsTimer = undefined;
        if (this.#hasCrashNews()) {
            this.#options.publish();
            this.scheduleCrashNews();
        }
    }

    /** Returns whether the own cell, or through this host another one, should hear of crashes soon. */
    #hasCrashNews(): boolean {
        const { crashes, publishesAggregates } = this.#options;
        return crashes.hasUnpublishedNews() || (publishesAggregates() && crashes.hasNewsToPassOn());
    }
}
