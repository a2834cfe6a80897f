/**
 * How long one request has waited, and how long it may.
 *
 * @module
 */
import { maximumWaitMilliseconds } from "../../forwarding/index.js";
import { type FailureReason } from "./failureReason.js";
import { type RequestParts } from "./requestParts.js";
import { describeLimit } from "./requestPermits.js";

/** Measures the wait of a request from when it could not be sent until it is sent or ends. */
export class WaitTime {
    readonly #parts: RequestParts;
    #sinceMilliseconds: number | undefined;

    constructor(parts: RequestParts) {
        this.#parts = parts;
    }

    get isWaiting(): boolean {
        return this.#sinceMilliseconds !== undefined;
    }

    get maximumMilliseconds(): number {
        const { facts, request: { arrivedAtMilliseconds, route } } = this.#parts;
        return maximumWaitMilliseconds(route, facts.deadlineAtMilliseconds - arrivedAtMilliseconds);
    }

    /** Time for which the request may still wait. */
    get remainingMilliseconds(): number {
        const now = this.#now();
        return this.maximumMilliseconds - (now - (this.#sinceMilliseconds ?? now));
    }

    /** Starts the wait if the request was not waiting, and returns for how long it may still wait. */
    begin(reason: FailureReason): number {
        if (this.#sinceMilliseconds === undefined) {
            this.#sinceMilliseconds = this.#now();
            this.#parts.place.begin();
            this.#logBegun(reason);
        }
        return this.maximumMilliseconds - (this.#now() - this.#sinceMilliseconds);
    }

    /** Ends the wait, if the request was waiting; the outcome is `sent` where it was sent. */
    end(outcome: string): void {
        this.#parts.place.end(outcome === "sent" ? "sent" : "not-sent");
        if (this.#sinceMilliseconds !== undefined) {
            const waitedMilliseconds = this.#now() - this.#sinceMilliseconds;
            this.#parts.context.metrics.observe("residency_wait_seconds", waitedMilliseconds, { outcome });
            this.#sinceMilliseconds = undefined;
        }
    }

    #logBegun(reason: FailureReason): void {
        const { context, logger, permitWait, selection } = this.#parts;
        logger.info("request waits", {
            reason,
            longestMilliseconds: Math.round(this.maximumMilliseconds),
            ...describeLimit(context, permitWait.upstream),
            ...selection.describe(),
        });
    }

    #now(): number {
        return this.#parts.context.readClock();
    }
}
