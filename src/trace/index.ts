/**
 * Records the messages that a decision handles, and replays them to check for expected outcomes.
 *
 * Use it to keep a failure as a file, and to check that a changed decision still handles it.
 *
 * @example
 * ```ts
 * import { parseTrace, replayTrace } from "./index.js";
 *
 * const trace = parseTrace(text);
 * const unmet = trace.isOk() ? replayTrace(trace.value, decision) : [];
 * ```
 *
 * @module
 */
export {
    parseTrace,
    recordDecision,
    renderTrace,
    replayTrace,
    type StatedOutcome,
    type Trace,
    type TraceEntry,
    type TraceHeader,
    type UnmetOutcome,
} from "./trace.js";
