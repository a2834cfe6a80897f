/**
 * Logs and metrics of a host.
 *
 * Use it in code that performs input and output; decisions report through the effects that they return.
 *
 * @example
 * ```ts
 * import { createLogger, createMetrics } from "./index.js";
 *
 * const logger = createLogger({ level: "info", fields: { host: "entry-1" } });
 * const metrics = createMetrics(undefined, "entry-1");
 * metrics.increment("requests.accepted", { class: "urgent" });
 * logger.info("accepted", { request: "r-1" });
 * ```
 *
 * @module
 */
export { BoundedOutput, type BoundedOutputOptions } from "./boundedOutput.js";
export { createDecisionLog, type DecisionLogOptions } from "./decisionLog.js";
export {
    type CounterName,
    createEntryMetrics,
    type EntryMetrics,
    type GaugeName,
    type HistogramName,
    listEntryMetrics,
} from "./entryMetrics.js";
export { createLogger, type LogFields, type Logger, type LoggerOptions } from "./logger.js";
export {
    type MetricDefinition,
    type MetricName,
    METRICS,
    renderMetricsTable,
    type RetryReason,
} from "./metricNames.js";
export { createMetrics, type Metrics, type MetricTags } from "./metrics.js";
export { type ReceivedDatagram, ReceivedDatagrams, type ReceivedDatagramsOptions } from "./receivedDatagrams.js";
export {
    type AnswerReader,
    type BrokenAnswer,
    type BrokenAnswerReport,
    reportBrokenAnswer,
} from "./reportBrokenAnswer.js";
export { describeThrown, runInBackground } from "./runInBackground.js";
export { SentDatagrams, type SentMessage } from "./sentDatagrams.js";
export { TimeSpent, type TimeSpentOptions, type WorkSubject } from "./timeSpent.js";
