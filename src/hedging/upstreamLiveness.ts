/**
 * Tracks which upstreams answer, so that a request moves only to one that is known to do so.
 *
 * @module
 */

/** What was received within this time shows that an upstream has not paused for long enough to stall a request. */
const RECENT_MILLISECONDS = 400;

interface Activity {
    /** Requests of this host that the upstream has. */
    requests: number;
    /** Since when it has had requests of this host, and sent no byte of an answer to them. */
    silentSinceMilliseconds: number;
    /** When a byte of an answer to a request was last received. */
    heardAtMilliseconds: number;
    /** When a health check, an order or the like was last answered. */
    probedAtMilliseconds: number;
}

/**
 * The time of the last byte of an answer from each upstream, and of the last answer to a probe. An upstream may answer
 * probes while the requests that it has stand still.
 *
 * @example
 * ```ts
 * const liveness = new UpstreamLiveness();
 * liveness.recordProbed("engine-3", now);
 * liveness.isAnswering("engine-3", now + 100); // true, since it has no requests
 * liveness.recordSent("engine-3", now + 100);
 * liveness.isAnswering("engine-3", now + 600); // false
 * ```
 */
export class UpstreamLiveness {
    readonly #activities = new Map<string, Activity>();

    /** Records that a request was sent to an upstream. */
    recordSent(upstream: string, nowMilliseconds: number): void {
        const activity = this.#activity(upstream);
        if (activity.requests === 0) {
            activity.silentSinceMilliseconds = nowMilliseconds;
        }
        activity.requests += 1;
    }

    /** Records that a request has ended at an upstream. */
    recordEnded(upstream: string): void {
        const activity = this.#activity(upstream);
        activity.requests = Math.max(0, activity.requests - 1);
    }

    /** Records a byte of an answer to a request. */
    recordHeard(upstream: string, nowMilliseconds: number): void {
        const activity = this.#activity(upstream);
        activity.heardAtMilliseconds = nowMilliseconds;
        activity.silentSinceMilliseconds = nowMilliseconds;
    }

    /** Records an answer to a health check, an order or the like. */
    recordProbed(upstream: string, nowMilliseconds: number): void {
        this.#activity(upstream).probedAtMilliseconds = nowMilliseconds;
    }

    /**
     * Returns whether the upstream answers requests: it did a moment ago, or it answered a probe, and no request of this
     * host has been left standing there. False where nothing is known.
     */
    isAnswering(upstream: string, nowMilliseconds: number): boolean {
        const { heardAtMilliseconds, requests, silentSinceMilliseconds } = this.#activity(upstream);
        if (nowMilliseconds - heardAtMilliseconds < RECENT_MILLISECONDS) {
            return true;
        }
        const isStalled = requests > 0 && nowMilliseconds - silentSinceMilliseconds >= RECENT_MILLISECONDS;
        return !isStalled && this.isReachable(upstream, nowMilliseconds);
    }

    /** Returns whether the upstream answered a request or a probe a moment ago. */
    isReachable(upstream: string, nowMilliseconds: number): boolean {
        const { heardAtMilliseconds, probedAtMilliseconds } = this.#activity(upstream);
        return nowMilliseconds - Math.max(heardAtMilliseconds, probedAtMilliseconds) < RECENT_MILLISECONDS;
    }

    /** Returns the time since the upstream last answered a request; infinite where it never did. */
    silenceMilliseconds(upstream: string, nowMilliseconds: number): number {
        return nowMilliseconds - this.#activity(upstream).heardAtMilliseconds;
    }

    /** Forgets what an upstream that has left answered; requests that it still has end later. */
    forget(upstream: string): void {
        if (this.#activity(upstream).requests === 0) {
            this.#activities.delete(upstream);
        }
    }

    #activity(upstream: string): Activity {
        const activity = this.#activities.get(upstream) ?? {
            requests: 0,
            silentSinceMilliseconds: Number.NEGATIVE_INFINITY,
            heardAtMilliseconds: Number.NEGATIVE_INFINITY,
            probedAtMilliseconds: Number.NEGATIVE_INFINITY,
        };
        this.#activities.set(upstream, activity);
        return activity;
    }
}
