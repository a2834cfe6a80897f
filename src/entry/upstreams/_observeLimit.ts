import { type UpstreamIncarnation } from "../../fleet/index.js";
import { type LimitObservation, type ParsedRateLimit } from "../../rateLimits/index.js";

/** Where and when an answer was received. */
export interface Reception {
    readonly sentAtMilliseconds: number;
    readonly receivedAtMilliseconds: number;
    /** The host that received the answer. */
    readonly receivedBy: string;
}

/** Returns what an answer shows of a limit of its upstream: none where it names none, or one that is not readable. */
export function observeLimit(
    { id, startedAtMilliseconds }: UpstreamIncarnation,
    limit: ParsedRateLimit | undefined,
    reception: Reception,
): LimitObservation {
    return {
        upstream: { id, startedAtMilliseconds },
        requestsPerSecond: limit?.type === "limit" ? limit.requestsPerSecond : undefined,
        ...reception,
    };
}
