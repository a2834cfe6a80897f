/**
 * Records what a decision is told, and replays it against stated outcomes.
 *
 * Use it to keep the course of a failure as a file, and to show that a changed decision still handles it.
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
