/**
 * Uses and describes the rate limits of upstreams for one request.
 *
 * @module
 */
import { type UpstreamAnnouncement } from "../../fleet/index.js";
import { type WaitingRequest } from "../../rateLimits/index.js";
import { type ForwardingContext } from "../forwardingContext.js";

/** A request that is being sent. */
export interface PermittedSend {
    readonly upstream: UpstreamAnnouncement;
    /** The request's place among those that need permits. */
    readonly request: WaitingRequest;
    /** An upstream that had no room within its rate limit; `undefined` where none was passed over. */
    readonly passedOver: string | undefined;
}

/** Uses a permit where the upstream needs one, and requests one for later where an upstream was passed over. */
export function usePermit(
    { metrics, rateLimiting, readClock }: ForwardingContext,
    { passedOver, request, upstream }: PermittedSend,
): void {
    const { limiter } = rateLimiting;
    if (limiter.isLimited(upstream.id) && limiter.tryUse(upstream.id, request, readClock())) {
        metrics.count("limit_permits", { outcome: "used" });
    }
    if (passedOver !== undefined) {
        limiter.requestSpare(passedOver, readClock());
        rateLimiting.update();
        metrics.count("limit_moves", { service: upstream.service });
    }
}

/** Returns log fields with the rate limit that bears on a request; none where there is no limit. */
export function describeLimit(
    { rateLimiting, readClock }: ForwardingContext,
    upstream: string | undefined,
): Readonly<Record<string, string | number | undefined>> {
    const limit = upstream === undefined ? undefined : rateLimiting.limiter.describe(upstream, readClock());
    return limit === undefined ? {} : { limitedUpstream: upstream, ...limit };
}
