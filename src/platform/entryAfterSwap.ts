/**
 * What a compare-and-swap shows of its key.
 *
 * @module
 */
import { type KeyValueEntry, type SwapOutcome } from "./types.js";

/**
 * Returns the entry that a key has after a compare-and-swap; `undefined` where it does not exist.
 *
 * @param written The key, and the value that was to be written.
 * @param outcome The outcome of the call.
 *
 * @example
 * ```ts
 * const entry = entryAfterSwap({ key, value }, outcome);
 * ```
 */
export function entryAfterSwap(
    written: Pick<KeyValueEntry, "key" | "value">,
    outcome: SwapOutcome,
): KeyValueEntry | undefined {
    return outcome.type === "written" ? { ...written, revision: outcome.revision } : outcome.current;
}
