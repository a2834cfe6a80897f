/**
 * Merges two hosts' digests of one suspect, for hosts that forward digests.
 *
 * @module
 */
import { type SuspectDigest } from "../generated/peers.js";
import { createSuspectEntry, describeEntry, mergeDigest } from "./_suspectEntry.js";

/**
 * Merges two digests of one fingerprint; merging a digest again changes nothing.
 *
 * @param known The digest known so far.
 * @param received The digest that was just received.
 * @returns The crash history of both, with the trial that was received last.
 *
 * @example
 * ```ts
 * const merged = mergeSuspectDigests({ fingerprint: "f", crashes: ["engine-1/a"] }, { fingerprint: "f", crashes: ["engine-2/a"] });
 * ```
 */
export function mergeSuspectDigests(known: SuspectDigest, received: SuspectDigest): SuspectDigest {
    const entry = createSuspectEntry(known.fingerprint);
    mergeDigest(entry, known, 0);
    mergeDigest(entry, received, 0);
    const trial = received.trial ?? known.trial;
    return { ...describeEntry(entry), ...(trial === undefined ? {} : { trial }) };
}
