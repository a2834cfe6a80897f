/**
 * Logs and counts broken answers, whichever part of a host reads them.
 *
 * @module
 */
import { type AnswerFault } from "../transport/answers/index.js";
import { type Logger } from "./logger.js";

/** What an answer was read for. */
export type AnswerReader =
    | "request"
    | "health-probe"
    | "order"
    | "report"
    | "store"
    | "host-list"
    | "service-call"
    | "peer-call"
    | "peer-state";

/** A broken answer. */
export interface BrokenAnswer {
    readonly reader: AnswerReader;
    /** IP number and port, or URL, that it came from. */
    readonly address: string;
    readonly fault: AnswerFault;
    /** Identifier of the caller's request, where there is one. */
    readonly request?: string;
}

/** Where broken answers are reported. */
export interface BrokenAnswerReport {
    readonly logger: Logger;
    readonly metrics: {
        count(name: "broken_answers", labels: Readonly<Record<"reader" | "fault", string>>): void;
    };
}

/**
 * Logs and counts a broken answer.
 *
 * @param report Logger and metrics of the host.
 * @param answer The answer.
 *
 * @example
 * ```ts
 * reportBrokenAnswer({ logger, metrics }, { reader: "health-probe", address: "10.128.0.9:8080", fault: "reset-at-end" });
 * ```
 */
export function reportBrokenAnswer(
    { logger, metrics }: BrokenAnswerReport,
    { address, fault, reader, request }: BrokenAnswer,
): void {
    metrics.count("broken_answers", { reader, fault });
    logger.info("answer broken", { request, reader, address, fault });
}
