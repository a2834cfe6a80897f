/**
 * What crashes of upstreams, and requests that were lost or answered, imply for requests that may crash upstreams.
 *
 * @module
 */
import {
    type CrashAttribution,
    type CrashChange,
    type CrashEvidence,
    type CrashReport,
    type RequestAttributes,
} from "../../crashes/index.js";
import { type UpstreamAnnouncement } from "../../fleet/index.js";
import { type EntryMetrics, type Logger } from "../../observability/index.js";
import { incarnationOf } from "../_upstreamIncarnation.js";

/** Options of {@linkcode CrashRecorder}. */
export interface CrashRecorderOptions {
    /** Concludes which requests crash upstreams. */
    readonly crashes: CrashAttribution;
    readonly logger: Logger;
    readonly metrics: EntryMetrics;
    readonly readClock: () => number;
    /** Called where something may have been learned of crashes that peers should hear soon. */
    readonly onCrashNews: () => void;
}

/** Records what concerns crashes, logs what is concluded, and has news published. */
export class CrashRecorder {
    readonly #options: CrashRecorderOptions;

    constructor(options: CrashRecorderOptions) {
        this.#options = options;
    }

    /** Records the crash of an upstream's process. */
    recordCrash(upstream: UpstreamAnnouncement): void {
        const { crashes, readClock } = this.#options;
        this.#logSuspects(crashes.recordCrash(incarnationOf(upstream), readClock()), upstream);
        this.#handleNews();
    }

    /** Records a refused connection; one right after requests were lost means that the upstream crashed. */
    recordRefusedConnection(upstream: UpstreamAnnouncement): void {
        const { crashes, readClock } = this.#options;
        this.#logSuspects(crashes.recordRefusedConnection(incarnationOf(upstream), readClock()), upstream);
        this.#handleNews();
    }

    /** Records that a request is sent; peers hear soon of one that is tried although it may crash upstreams. */
    recordSent(attributes: RequestAttributes): void {
        this.#options.crashes.recordSent(attributes, this.#options.readClock());
        this.#handleNews();
    }

    /** Records a request that was lost with its connection before its answer had begun. */
    recordLost(attributes: RequestAttributes, upstream: UpstreamAnnouncement): void {
        this.#options.crashes.recordLost(attributes, incarnationOf(upstream), this.#options.readClock());
        this.#handleNews();
    }

    /** Records a request whose answer has gone on for a while, or is complete. */
    recordAnswered(attributes: RequestAttributes, upstream: UpstreamAnnouncement): void {
        this.#options.crashes.recordAnswered(attributes, incarnationOf(upstream), this.#options.readClock());
        this.#handleNews();
    }

    /** Records what a peer reports of crashes; returns whether it says anything new. */
    receive(report: CrashReport): boolean {
        const hasNews = this.#options.crashes.receive(report, this.#options.readClock());
        this.#handleNews();
        return hasNews;
    }

    /** Drops what is out of date. */
    expire(): void {
        this.#options.crashes.expire(this.#options.readClock());
        this.#handleNews();
    }

    /** Logs what was concluded, and has news published. */
    #handleNews(): void {
        this.#options.crashes.takeChanges().forEach(change => this.#logChange(change));
        this.#options.onCrashNews();
    }

    #logSuspects(evidence: readonly CrashEvidence[], upstream: UpstreamAnnouncement): void {
        for (const { fingerprint, parts, runs } of evidence) {
            this.#options.logger.warn("request suspected of a crash", {
                fingerprint,
                promptParts: parts.join(","),
                crashes: runs.length,
                upstream: upstream.id,
                incarnation: incarnationOf(upstream),
            });
        }
    }

    #logChange(change: CrashChange): void {
        const { logger, metrics } = this.#options;
        const { ageMilliseconds, attributes, crashes, remainingMilliseconds } = change.conviction;
        const fields = {
            attributes: attributes.join(" "),
            crashes,
            ageMilliseconds,
            remainingMilliseconds,
        };
        if (change.type === "convicted") {
            logger.warn("requests that crash upstreams are refused", { ...fields, isOwn: change.isOwn });
        }
        else {
            logger.warn("requests are no longer refused for crashes", {
                ...fields,
                answeredAttribute: change.attribute,
            });
        }
        metrics.count("crash_convictions", { change: change.type });
    }
}
