/**
 * Whether a request may still leave this host, at the moment at which it can.
 *
 * @module
 */
import { hasCallerLeft } from "../connections/index.js";
import { type Attempt } from "./attempt.js";
import { findKeyProblem } from "./keyProblem.js";
import { remainingMilliseconds, type RequestParts } from "./requestParts.js";

/** A request that leaves later than this after it was permitted counts in another window of the upstream's limit. */
const PERMIT_LIFETIME_MILLISECONDS = 350;

/** Why a request must not leave: for good, or for the upstream that was chosen. */
export type SendObstacle = "caller-left" | "out-of-time" | "upstream-gone" | "permit-lapsed" | "key-removed";

function hasPermitLapsed({ context }: RequestParts, { sentAtMilliseconds, upstream }: Attempt): boolean {
    return context.readClock() - sentAtMilliseconds > PERMIT_LIFETIME_MILLISECONDS
        && context.rateLimiting.limiter.isLimited(upstream.id);
}

/**
 * Returns what has come between the choice of an upstream and the moment at which the request can leave.
 *
 * @param parts The request.
 * @param attempt The attempt whose connection is established.
 */
export function findSendObstacle(parts: RequestParts, attempt: Attempt): SendObstacle | undefined {
    if (hasCallerLeft(parts.request)) {
        return "caller-left";
    }
    if (remainingMilliseconds(parts) <= 0) {
        return "out-of-time";
    }
    if (findKeyProblem(parts) !== undefined) {
        return "key-removed";
    }
    if (!parts.context.view.isUsableIncarnation(attempt.upstream)) {
        return "upstream-gone";
    }
    return hasPermitLapsed(parts, attempt) ? "permit-lapsed" : undefined;
}
