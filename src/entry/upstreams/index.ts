/**
 * Records what answers, connections and announcements tell of upstreams, and logs what changed.
 *
 * Used by the tracker of the upstreams, which tells each part of an event what concerns it.
 *
 * @example
 * ```ts
 * import { PauseRecorder } from "./index.js";
 *
 * const pauseRecorder = new PauseRecorder({ logger, metrics, pauses, readClock });
 * pauseRecorder.record("i-1", answerHead);
 * ```
 *
 * @module
 */
export { CrashRecorder, type CrashRecorderOptions } from "./crashRecorder.js";
export { LeavingReports } from "./leavingReports.js";
export { LimitRecorder, type LimitRecorderOptions } from "./limitRecorder.js";
export { logUpstreamChange } from "./logUpstreamChange.js";
export { PauseRecorder, type PauseRecorderOptions } from "./pauseRecorder.js";
export { ToleranceRecorder, type ToleranceRecorderOptions } from "./toleranceRecorder.js";
