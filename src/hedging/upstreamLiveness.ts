/**
 * Tracks which upstreams answer, so that a request moves only to one that is known to do so.
 *
 * @module
 */

/** What was received within this time shows that a request has not stalled; younger requests are not judged. */
const RECENT_MILLISECONDS = 400;

/** Share of an upstream's requests whose answers go on, from which it counts as answering. */
const ANSWERING_SHARE = 0.5;

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

    /** Records an answer to a health check, an order or the like. */
    recordProbed(upstream: string, nowMilliseconds: number): void {
        this.#activity(upstream).probedAtMilliseconds = nowMilliseconds;
    }

    /**
     * Returns whether the upstream answers requests as usual: of most of those that it has had for a while, two events
     * came a moment ago. Where it has none of this host, an answer to a probe is enough. False where nothing is known.
     */
    isAnswering(upstream: string, nowMilliseconds: number): boolean {
        const requests = [...this.#activity(upstream).requests];
        const judged = requests.filter(({ sentAtMilliseconds }) => !isRecent(sentAtMilliseconds, nowMilliseconds));
        if (judged.length === 0) {
            return this.isReachable(upstream, nowMilliseconds);
        }
        const goingOn = judged.filter(request => isRecent(request.heardBeforeAtMilliseconds, nowMilliseconds));
        return goingOn.length >= judged.length * ANSWERING_SHARE;
    }

    /** Returns whether the upstream answered a request or a probe a moment ago. */
    isReachable(upstream: string, nowMilliseconds: number): boolean {
        const { heardAtMilliseconds, probedAtMilliseconds } = this.#activity(upstream);
        return isRecent(Math.max(heardAtMilliseconds, probedAtMilliseconds), nowMilliseconds);
    }

    /** Returns the time since the upstream last answered a request; infinite where it never did. */
    silenceMilliseconds(upstream: string, nowMilliseconds: number): number {
        return nowMilliseconds - this.#activity(upstream).heardAtMilliseconds;
    }

    forget(upstream: string): void {
        this.#upstreams.delete(upstream);
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
