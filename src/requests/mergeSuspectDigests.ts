/**
 * Merges what two hosts know of one suspect, for whoever passes digests on.
 *
 * @module
 */
import { type SuspectDigest } from "../generated/peers.js";
import { createSuspectEntry, describeEntry, mergeDigest } from "./_suspectEntry.js";

/**
 * Merges two digests of one fingerprint; merging the same one again changes nothing.
 *
 * @param held The digest known so far.
 * @param heard The digest that has just come.
 * @returns The history of both, with the trial that was heard of last.
 *
 * @example
 * ```ts
 * const merged = mergeSuspectDigests({ fingerprint: "f", crashes: ["engine-1/a"] }, { fingerprint: "f", crashes: ["engine-2/a"] });
 * ```
 */
export function mergeSuspectDigests(held: SuspectDigest, heard: SuspectDigest): SuspectDigest {
    const entry = createSuspectEntry(held.fingerprint);
    mergeDigest(entry, held, 0);
    mergeDigest(entry, heard, 0);
    const trial = heard.trial ?? held.trial;
    return { ...describeEntry(entry), ...(trial === undefined ? {} : { trial }) };
}
