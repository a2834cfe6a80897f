/**
 * Tracks which upstreams answer, so that a request moves only to one that is known to do so.
 *
 * @module
 */

/** What was received within this time shows that a request has not stalled; younger requests are not judged. */
const RECENT_MILLISECONDS = 400;

/** An answer may take this long to begin, since prompts wait for others to be read. */
const BEGINNING_MILLISECONDS = 1_200;

/** An upstream has stalled where a smaller share of its requests goes on. */
const GOING_ON_SHARE = 0.5;

/** A request that an upstream has. */
export interface RequestActivity {
    /** Records a byte of the answer. */
    recordHeard(nowMilliseconds: number): void;
    /** The request has ended, or was cancelled. */
    end(): void;
}

/** Bytes that arrive within this time of each other are parts of one event. */
const EVENT_MILLISECONDS = 20;

interface OpenRequest {
    readonly sentAtMilliseconds: number;
    /** When the last event of the answer was received, and the one before it. */
    heardAtMilliseconds: number;
    heardBeforeAtMilliseconds: number;
}

interface UpstreamActivity {
    readonly requests: Set<OpenRequest>;
    /** When a byte of an answer to a request was last received. */
    heardAtMilliseconds: number;
    /** When a health check, an order or the like was last answered. */
    probedAtMilliseconds: number;
}

function recordEvent(request: OpenRequest, nowMilliseconds: number): void {
    if (nowMilliseconds - request.heardAtMilliseconds >= EVENT_MILLISECONDS) {
        request.heardBeforeAtMilliseconds = request.heardAtMilliseconds;
        request.heardAtMilliseconds = nowMilliseconds;
    }
}

/** Returns whether the request is old enough that its answer should go on. */
function isDue({ heardAtMilliseconds, sentAtMilliseconds }: OpenRequest, nowMilliseconds: number): boolean {
    const hasBegun = heardAtMilliseconds > Number.NEGATIVE_INFINITY;
    return nowMilliseconds - sentAtMilliseconds >= (hasBegun ? RECENT_MILLISECONDS : BEGINNING_MILLISECONDS);
}

function isRecent(atMilliseconds: number, nowMilliseconds: number): boolean {
    return nowMilliseconds - atMilliseconds < RECENT_MILLISECONDS;
}

/**
 * The requests that this host has at each upstream, with the time of the last byte of each answer, and of the last
 * answer to a probe. An upstream may answer probes, or a few requests, while most of its requests stand still.
 *
 * @example
 * ```ts
 * const liveness = new UpstreamLiveness();
 * const activity = liveness.begin("engine-3", now);
 * activity.recordHeard(now + 400);
 * activity.recordHeard(now + 450);
 * liveness.isAnswering("engine-3", now + 500); // true
 * liveness.isAnswering("engine-3", now + 900); // false
 * activity.end();
 * ```
 */
export class UpstreamLiveness {
    readonly #upstreams = new Map<string, UpstreamActivity>();

    /** Records that a request was sent to an upstream. */
    begin(upstream: string, nowMilliseconds: number): RequestActivity {
        const request = {
            sentAtMilliseconds: nowMilliseconds,
            heardAtMilliseconds: Number.NEGATIVE_INFINITY,
            heardBeforeAtMilliseconds: Number.NEGATIVE_INFINITY,
        };
        const activity = this.#activity(upstream);
        activity.requests.add(request);
        return {
            recordHeard: heardAtMilliseconds => {
                recordEvent(request, heardAtMilliseconds);
                activity.heardAtMilliseconds = heardAtMilliseconds;
            },
            end: () => activity.requests.delete(request),
        };
    }

    /** Records that the upstream answered a health check, an order or the like. */
    recordProbeAnswered(upstream: string, nowMilliseconds: number): void {
        this.#activity(upstream).probedAtMilliseconds = nowMilliseconds;
    }

    /** Returns whether the upstream answered a request or a probe a moment ago, and is not stalled. */
    isAnswering(upstream: string, nowMilliseconds: number): boolean {
        return this.isReachable(upstream, nowMilliseconds) && !this.isStalled(upstream, nowMilliseconds);
    }

    /**
     * Returns whether most of the requests that the upstream has had for a while stand still, whatever it answers else.
     * A request goes on if two events of its answer came a moment ago.
     */
    isStalled(upstream: string, nowMilliseconds: number): boolean {
        const due = [...this.#activity(upstream).requests].filter(request => isDue(request, nowMilliseconds));
        const goingOn = due.filter(request => isRecent(request.heardBeforeAtMilliseconds, nowMilliseconds));
        return goingOn.length < due.length * GOING_ON_SHARE;
    }

    /** Returns whether the upstream answered a request or a probe a moment ago. */
    isReachable(upstream: string, nowMilliseconds: number): boolean {
        return isRecent(this.#respondedAtMilliseconds(upstream), nowMilliseconds);
    }

    /** Returns whether the upstream answered a request or a probe after a point in time. */
    hasRespondedSince(upstream: string, sinceMilliseconds: number): boolean {
        return this.#respondedAtMilliseconds(upstream) > sinceMilliseconds;
    }

    /** Returns the time since the upstream last answered a request; infinite where it never did. */
    silenceMilliseconds(upstream: string, nowMilliseconds: number): number {
        return nowMilliseconds - this.#activity(upstream).heardAtMilliseconds;
    }

    forget(upstream: string): void {
        this.#upstreams.delete(upstream);
    }

    #respondedAtMilliseconds(upstream: string): number {
        const { heardAtMilliseconds, probedAtMilliseconds } = this.#activity(upstream);
        return Math.max(heardAtMilliseconds, probedAtMilliseconds);
    }

    #activity(upstream: string): UpstreamActivity {
        const activity = this.#upstreams.get(upstream) ?? {
            requests: new Set(),
            heardAtMilliseconds: Number.NEGATIVE_INFINITY,
            probedAtMilliseconds: Number.NEGATIVE_INFINITY,
        };
        this.#upstreams.set(upstream, activity);
        return activity;
    }
}
