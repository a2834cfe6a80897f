/**
 * Parts of the messages that a host sends to its peers.
 *
 * @module
 */
import { type CrashReport } from "../crashes/index.js";
import { type UpstreamIncarnation } from "../fleet/index.js";
import { type EngineMemory, type HostDigest, type StoreChanges } from "../generated/gossip.js";
import { type EngineRecord } from "../placement/index.js";
import { JOURNAL_KEY_PREFIX } from "./_streamJournalWriter.js";
import { type ForwardedBatch } from "./store/index.js";

/** Returns changes without the journal of streams, which other hosts read where they need it. */
export function withoutJournal({ changes, ...revisions }: ForwardedBatch): Omit<StoreChanges, "type" | "host"> {
    return { ...revisions, changes: changes.filter(({ key }) => !key.startsWith(JOURNAL_KEY_PREFIX)) };
}

export function toLeavingIncarnation(
    { id, startedAtMilliseconds }: UpstreamIncarnation,
): HostDigest["leavingRuns"][number] {
    return { upstream: id, ...(startedAtMilliseconds === undefined ? {} : { startedAtMilliseconds }) };
}

/** Returns a report as it is published; `undefined` where it has nothing to say. */
export function toPublished({ convictions, sound, suspects, trials }: CrashReport): HostDigest["crashes"] {
    if (convictions.length + sound.length + suspects.length + trials.length === 0) {
        return undefined;
    }
    return {
        convictions: convictions.map(conviction => ({ ...conviction, attributes: [...conviction.attributes] })),
        sound: [...sound],
        suspects: suspects.map(({ fingerprint, parts, runs }) => ({ fingerprint, parts: [...parts], runs: [...runs] })),
        trials: trials.map(claim => ({ ...claim, attributes: [...claim.attributes] })),
    };
}

export function toMemory(record: EngineRecord): EngineMemory {
    return {
        engine: record.engine,
        orderCount: record.orderCount,
        models: record.models.map(({ name, adapters }) => ({ name, adapters: [...adapters] })),
        ...(record.startedAtMilliseconds === undefined ? {} : { startedAtMilliseconds: record.startedAtMilliseconds }),
        ...(record.loading === undefined ? {} : { loading: record.loading }),
    };
}
