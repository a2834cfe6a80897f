/**
 * The rejections a second that upstreams say in answers to this host that they tolerate.
 *
 * @module
 */
import { type UpstreamIncarnation } from "../../fleet/index.js";
import { type EntryMetrics, type Logger } from "../../observability/index.js";
import { type LimitChange, type NamedLimits } from "../../rateLimits/index.js";
import { type AnswerStatusAndHeaders, readRejectionTolerance } from "../_answerHead.js";
import { type HeaderNames } from "../siteProtocol.js";
import { observeLimit } from "./_observeLimit.js";

/** Options of {@linkcode ToleranceRecorder}. */
export interface ToleranceRecorderOptions {
    /** This host. */
    readonly host: string;
    readonly headers: HeaderNames;
    /** The tolerances that are known, to which those of answers are added. */
    readonly tolerances: NamedLimits;
    readonly logger: Logger;
    readonly metrics: EntryMetrics;
    readonly readClock: () => number;
}

/** Records the tolerances in the headers of answers, and reports their changes. */
export class ToleranceRecorder {
    readonly #options: ToleranceRecorderOptions;

    constructor(options: ToleranceRecorderOptions) {
        this.#options = options;
    }

    /** Records the tolerance that an answer to a request, sent at a given time, names. */
    record(upstream: UpstreamIncarnation, head: AnswerStatusAndHeaders, sentAtMilliseconds: number): void {
        const { headers, host, metrics, readClock, tolerances } = this.#options;
        const tolerance = readRejectionTolerance(head, headers);
        if (tolerance?.type === "unreadable") {
            metrics.count("rejection_tolerances", { outcome: "unreadable" });
        }
        const reception = { sentAtMilliseconds, receivedAtMilliseconds: readClock(), receivedBy: host };
        const change = tolerances.record(observeLimit(upstream, tolerance, reception));
        if (change !== undefined) {
            this.#reportChange(change);
        }
    }

    #reportChange({ previousRequestsPerSecond, requestsPerSecond, upstream }: LimitChange): void {
        const outcome = requestsPerSecond === undefined ? "withdrawn" : "named";
        this.#options.metrics.count("rejection_tolerances", { outcome });
        this.#options.logger.info("upstream rejection tolerance changed", {
            upstream,
            outcome,
            toleratedPerSecond: requestsPerSecond,
            previousToleratedPerSecond: previousRequestsPerSecond,
        });
    }
}
