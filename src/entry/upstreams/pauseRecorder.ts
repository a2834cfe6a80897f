/**
 * The pauses for which upstreams ask in answers to this host.
 *
 * @module
 */
import { type UpstreamPauses } from "../../forwarding/index.js";
import { type EntryMetrics, type Logger } from "../../observability/index.js";
import { type AnswerStatusAndHeaders, readRequestedPause } from "../_answerHead.js";

/** Options of {@linkcode PauseRecorder}. */
export interface PauseRecorderOptions {
    readonly logger: Logger;
    readonly metrics: EntryMetrics;
    /** The pauses in force, to which those of answers are added. */
    readonly pauses: UpstreamPauses;
    readonly readClock: () => number;
}

/** Records the pauses in the headers of answers, and reports them. */
export class PauseRecorder {
    readonly #options: PauseRecorderOptions;

    constructor(options: PauseRecorderOptions) {
        this.#options = options;
    }

    /** Records the pause for which an answer asks, if it asks for one. */
    record(upstream: string, head: AnswerStatusAndHeaders): void {
        const { logger, metrics, pauses, readClock } = this.#options;
        const pause = readRequestedPause(head);
        if (pause === undefined) {
            return;
        }
        if (pause.type === "unreadable") {
            metrics.count("upstream_pauses", { outcome: "unreadable" });
            logger.warn("pause not readable", { upstream, value: head.headers["retry-after"] });
            return;
        }
        pauses.record(upstream, pause.milliseconds, readClock());
        metrics.count("upstream_pauses", { outcome: pause.isCut ? "cut" : "obeyed" });
        logger.info("upstream asked for a pause", {
            upstream,
            pauseMilliseconds: Math.round(pause.milliseconds),
            isCut: pause.isCut,
        });
    }
}
