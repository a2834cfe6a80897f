/**
 * Reasons for which requests are refused or fail.
 *
 * @module
 */
import { type AttemptFailure } from "../../forwarding/index.js";

/** Why a request is refused as not run, or fails. */
export type FailureReason =
    | AttemptFailure
    | "no-upstream"
    /** The host has no memory for what an upstream may answer. */
    | "no-room-for-answer"
    | "all-full"
    | "rejection-bounds"
    | "prompts-unread"
    | "upstreams-pause"
    | "upstream-limit"
    | "adapter-missing"
    | "model-missing"
    | "crashes-engines"
    | "crash-suspected"
    | "host-partitioned"
    | "version-unknown"
    | "version-unavailable"
    | "version-gone"
    | "out-of-time"
    | "read-late"
    | "no-service"
    /** The account no longer holds the key that the request came with. */
    | "unknown-key"
    /** As above, in a configuration that may not be the newest. */
    | "configuration-outdated"
    | "broken-invariant"
    | "budget";
