/**
 * The wait of one request for a permit of an upstream that names a rate limit.
 *
 * @module
 */
import { type PermitExpectation } from "./hostPermits.js";
import { type RateLimiter } from "./rateLimiter.js";
import { type WaitingRequest } from "./waitingGroups.js";

/** Factor of the expected wait for a permit, since more urgent requests may come before it later. */
const DELAY_FACTOR = 1.25;

/** Options of a wait. */
export interface PermitWaitOptions {
    readonly limiter: RateLimiter;
    /** The limiter's queue has changed, so that it may have become active. */
    readonly onQueueChanged: () => void;
    readonly readClock: () => number;
    readonly requestId: string;
    /** Priority of the request; 0 is the most urgent. */
    readonly priority: number;
}

/**
 * Waits for a permit of one upstream at a time.
 *
 * @example
 * ```ts
 * const wait = new PermitWait({ limiter, onQueueChanged, readClock, requestId: "9c41d07b", priority: 1 });
 * wait.begin(["i-1", "i-2"], maximumWait);
 * if (wait.isTooLate(maximumWait)) {
 *     wait.cancel();
 * }
 * ```
 */
export class PermitWait {
    readonly #options: PermitWaitOptions;
    #upstream: string | undefined;
    #sinceMilliseconds: number | undefined;
    /** True once the issuer has counted the request, and a permit can be expected in time. */
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
        return this.#upstream === undefined ? undefined : this.#expectAt(this.#upstream)?.milliseconds;
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
            const { limiter, onQueueChanged, readClock } = this.#options;
            const now = readClock();
            this.#sinceMilliseconds ??= now;
            limiter.enqueue(this.#upstream, this.request, now);
            onQueueChanged();
        }
    }

    /**
     * Returns whether the permit is expected later than the request may wait. That it is expected in time is decided
     * once, when the issuer has counted the request.
     */
    isTooLate(remainingMilliseconds: number): boolean {
        const expectation = this.#upstream === undefined || this.#isExpected
            ? undefined
            : this.#expectAt(this.#upstream);
        if (expectation === undefined) {
            return false;
        }
        const isInTime = expectation.milliseconds * DELAY_FACTOR <= remainingMilliseconds;
        this.#isExpected = isInTime && expectation.isCounted;
        return !isInTime;
    }

    /** Ends the wait: the request was sent, has ended, or waits for something else. */
    cancel(): void {
        this.#leaveQueue();
        this.#sinceMilliseconds = undefined;
    }

    #leaveQueue(): void {
        if (this.#upstream !== undefined) {
            const { limiter, onQueueChanged, requestId } = this.#options;
            limiter.dequeue(this.#upstream, requestId);
            onQueueChanged();
            this.#upstream = undefined;
            this.#isExpected = false;
        }
    }

    #firstExpected(upstreams: readonly string[]): string | undefined {
        const expectations = upstreams.map(upstream => ({
            upstream,
            milliseconds: this.#expectAt(upstream)?.milliseconds ?? 0,
        }));
        return expectations.sort((left, right) => left.milliseconds - right.milliseconds)[0]?.upstream;
    }

    #expectAt(upstream: string): PermitExpectation | undefined {
        const { limiter, readClock } = this.#options;
        return limiter.expect(upstream, this.request, readClock());
    }
}
