/**
 * Reconstructs the timeline of one request from the logs of any number of hosts.
 *
 * @example
 * ```ts
 * import { renderTimeline, RequestTimeline } from "./index.js";
 * ```
 *
 * @module
 */
export { type LogLine, parseLogLine, renderTimeline, RequestTimeline, type TimelineStep } from "./requestTimeline.js";
