/**
 * The rate limits that upstreams name in answers to this host.
 *
 * @module
 */
import { type UpstreamIncarnation } from "../../fleet/index.js";
import { type EntryMetrics, type Logger } from "../../observability/index.js";
import { type LimitChange, type NamedLimits } from "../../rateLimits/index.js";
import { type AnswerStatusAndHeaders, readRateLimit } from "../_answerHead.js";
import { type HeaderNames } from "../siteProtocol.js";
import { observeLimit } from "./_observeLimit.js";

/** Options of {@linkcode LimitRecorder}. */
export interface LimitRecorderOptions {
    /** This host. */
    readonly host: string;
    readonly headers: HeaderNames;
    /** The limits that are known, to which those of answers are added. */
    readonly limits: NamedLimits;
    readonly logger: Logger;
    readonly metrics: EntryMetrics;
    readonly readClock: () => number;
    /** An answer to this host changed a limit. */
    readonly onLimitChanged: (change: LimitChange) => void;
}

/** Records the rate limits in the headers of answers, and reports their changes. */
export class LimitRecorder {
    readonly #options: LimitRecorderOptions;
    /** The last unreadable limit of each upstream, which is logged once. */
    readonly #unreadableLimits = new Map<string, string>();

    constructor(options: LimitRecorderOptions) {
        this.#options = options;
    }

    /** Records the limit that an answer to a request, sent at a given time, names. */
    record(upstream: UpstreamIncarnation, head: AnswerStatusAndHeaders, sentAtMilliseconds: number): void {
        const { headers, host, limits, onLimitChanged, readClock } = this.#options;
        const limit = readRateLimit(head, headers);
        if (limit?.type === "unreadable") {
            this.#reportUnreadable(upstream.id, String(head.headers[headers.rateLimit]));
        }
        const reception = { sentAtMilliseconds, receivedAtMilliseconds: readClock(), receivedBy: host };
        const change = limits.record(observeLimit(upstream, limit, reception));
        if (change !== undefined) {
            this.reportChange(change, host);
            onLimitChanged(change);
        }
    }

    /** Logs and counts a change of a limit, which the upstream named to a host. */
    reportChange({ previousRequestsPerSecond, requestsPerSecond, upstream }: LimitChange, namedTo: string): void {
        const named = previousRequestsPerSecond === undefined ? "named" : "changed";
        const outcome = requestsPerSecond === undefined ? "withdrawn" : named;
        this.#options.metrics.count("upstream_limits", { outcome });
        this.#options.logger.info("upstream limit changed", {
            upstream,
            outcome,
            limitPerSecond: requestsPerSecond,
            previousLimitPerSecond: previousRequestsPerSecond,
            namedTo,
        });
    }

    /** Drops the limit of an upstream that is gone, and what is kept of its unreadable ones. */
    forget(upstream: string): void {
        this.#options.limits.forget(upstream);
        this.#unreadableLimits.delete(upstream);
    }

    #reportUnreadable(upstream: string, value: string): void {
        this.#options.metrics.count("upstream_limits", { outcome: "unreadable" });
        if (this.#unreadableLimits.get(upstream) !== value) {
            this.#unreadableLimits.set(upstream, value);
            this.#options.logger.warn("limit not readable", { upstream, value });
        }
    }
}
