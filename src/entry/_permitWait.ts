/**
 * The wait of one request for a permit of an upstream that names a rate limit.
 *
 * @module
 */
import { type WaitingRequest } from "../rateLimits/index.js";
import { type RateLimiting } from "./rateLimiting.js";

/** Factor of the expected wait for a permit, since other hosts add requests to the same queue at the same time. */
const DELAY_FACTOR = 1.25;

/** Options of a wait. */
export interface PermitWaitOptions {
    readonly rateLimiting: RateLimiting;
    readonly readClock: () => number;
    readonly requestId: string;
    /** Priority of the request; 0 is the most urgent. */
    readonly priority: number;
}

/** Waits for a permit of one upstream at a time. */
export class PermitWait {
    readonly #options: PermitWaitOptions;
    #upstream: string | undefined;
    #sinceMilliseconds: number | undefined;
    /** True once the issuer's queue showed that a permit can be expected in time. */
    #isExpected = false;

    constructor(options: PermitWaitOptions) {
        this.#options = options;
    }

    /** The upstream for which the request waits; `undefined` where it waits for none. */
    get upstream(): string | undefined {
        return this.#upstream;
    }

    /** The request, for its place among those that need permits. */
    get request(): WaitingRequest {
        const { priority, readClock, requestId } = this.#options;
        return { id: requestId, priority, sinceMilliseconds: this.#sinceMilliseconds ?? readClock() };
    }

    /** Returns whether the request waits, and it is not known whether its permit can be expected in time. */
    get isUndecided(): boolean {
        return this.#upstream !== undefined && !this.#isExpected;
    }

    /** Time until the permit may be expected; `undefined` where the issuer has not told recently. */
    get expectedMilliseconds(): number | undefined {
        return this.#upstream === undefined ? undefined : this.#expectedMillisecondsAt(this.#upstream);
    }

    /**
     * Requests a permit for one of some upstreams, the one where it can be expected first, unless that is too late.
     *
     * @param upstreams Upstreams that could run the request, and need a permit.
     * @param remainingMilliseconds Time for which the request may still wait.
     */
    begin(upstreams: readonly string[], remainingMilliseconds: number): void {
        if (this.#upstream === undefined || !upstreams.includes(this.#upstream)) {
            this.#leaveQueue();
            this.#upstream = this.#firstExpected(upstreams);
        }
        if (this.#upstream !== undefined && !this.isTooLate(remainingMilliseconds)) {
            const { rateLimiting, readClock } = this.#options;
            const now = readClock();
            this.#sinceMilliseconds ??= now;
            rateLimiting.limiter.enqueue(this.#upstream, this.request, now);
            rateLimiting.update();
        }
    }

    /** Returns whether the permit is expected later than the request may wait; decided once, when it is first known. */
    isTooLate(remainingMilliseconds: number): boolean {
        const expectedMilliseconds = this.#isExpected ? undefined : this.expectedMilliseconds;
        if (expectedMilliseconds === undefined) {
            return false;
        }
        this.#isExpected = expectedMilliseconds * DELAY_FACTOR <= remainingMilliseconds;
        return !this.#isExpected;
    }

    /** Ends the wait: the request was sent, has ended, or waits for something else. */
    cancel(): void {
        this.#leaveQueue();
        this.#sinceMilliseconds = undefined;
    }

    #leaveQueue(): void {
        if (this.#upstream !== undefined) {
            const { rateLimiting, requestId } = this.#options;
            rateLimiting.limiter.dequeue(this.#upstream, requestId);
            rateLimiting.update();
            this.#upstream = undefined;
            this.#isExpected = false;
        }
    }

    #firstExpected(upstreams: readonly string[]): string | undefined {
        const expectations = upstreams.map(upstream => ({
            upstream,
            milliseconds: this.#expectedMillisecondsAt(upstream) ?? 0,
        }));
        return expectations.sort((left, right) => left.milliseconds - right.milliseconds)[0]?.upstream;
    }

    #expectedMillisecondsAt(upstream: string): number | undefined {
        const { priority, rateLimiting, readClock } = this.#options;
        return rateLimiting.limiter.expectedMilliseconds(upstream, priority, readClock());
    }
}
