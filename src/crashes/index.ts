/**
 * Attributes crashes of upstreams to what the lost requests have in common: a part of the prompt, or one request that
 * is sent again. Decides for each request whether it is sent, held back for a moment, or refused.
 *
 * Used by a host's forwarding; what hosts tell each other travels in their digests. Without sockets and clocks. See
 * `docs/design/crash-attribution.md`.
 *
 * @example
 * ```ts
 * import { CrashAttribution } from "./index.js";
 *
 * const crashes = new CrashAttribution("entry-1");
 * const verdict = crashes.verdict({ fingerprint: "f31a", parts: ["5c1e07a2", "91bd3f06"] }, 0);
 * console.log(verdict.type); // accepted
 * ```
 *
 * @module
 */
export { CrashAttribution } from "./crashAttribution.js";
export {
    type Conviction,
    type CrashChange,
    type CrashEvidence,
    type CrashReport,
    type LostRun,
    type RequestAttributes,
    type SoundAttribute,
    type TrialClaim,
    type Verdict,
} from "./types.js";
