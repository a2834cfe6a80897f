/**
 * From a request's identifier to its story, out of the logs of any number of hosts.
 *
 * @example
 * ```ts
 * import { renderStory, RequestStory } from "./index.js";
 * ```
 *
 * @module
 */
export { type LogLine, parseLogLine, renderTimeline, RequestTimeline, type TimelineStep } from "./requestTimeline.js";
