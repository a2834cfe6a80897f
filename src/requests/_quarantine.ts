/**
 * Tracks the request fingerprints that were in flight on crashed engines, and which of them are refused permanently.
 *
 * @module
 */
import { type SuspectDigest } from "../generated/peers.js";
import {
    createSuspectEntry,
    describeEntry,
    excuseEntry,
    type FingerprintStatus,
    listPresumed,
    mergeDigest,
    recordLoss,
    statusOfEntry,
    type SuspectEntry,
    updateConvicted,
    withdrawPresumption,
} from "./_suspectEntry.js";

const MAXIMUM_ENTRIES = 2_048;
const MAXIMUM_FINISHED_FINGERPRINTS = 4_096;

/** Suspect fingerprints, merged from all hosts. */
export interface Quarantine {
    /** Returns how requests with the fingerprint are handled. */
    statusOf(fingerprint: string): FingerprintStatus;
    /** Returns from when the latest loss counts as unconfirmed. */
    presumedSince(fingerprint: string): number;
    /** Counts a confirmed crash of an engine incarnation that ran the fingerprint. */
    recordCrash(fingerprint: string, crash: string): void;
    /** Records an unconfirmed crash of an engine incarnation that was lost while it ran the fingerprint. */
    presumeCrash(fingerprint: string, crash: string, nowMilliseconds: number): void;
    /** Confirms this host's unconfirmed crashes of an engine incarnation; peers confirm their own. */
    confirmPresumptions(crash: string): void;
    /** Drops unconfirmed crashes of an engine incarnation that was seen alive after they were recorded. */
    withdrawPresumptions(crash: string, aliveAtMilliseconds: number): void;
    /** Clears a fingerprint that an engine executed to the end; returns whether it had a crash history. */
    recordFinished(fingerprint: string): boolean;
    /** Returns whether an engine has executed the fingerprint to the end. */
    hasFinished(fingerprint: string): boolean;
    /** Merges a peer's digest; returns whether it changed anything. */
    merge(digest: SuspectDigest, nowMilliseconds: number): boolean;
    /** Returns the fingerprints that changed since the last call, and marks their change with this time. */
    drainChanged(nowMilliseconds: number): readonly string[];
    describe(fingerprint: string): SuspectDigest;
    /** Returns the fingerprints whose history changed after a time, the latest last. */
    listChangedSince(sinceMilliseconds: number): readonly string[];
}

/**
 * Creates a quarantine without suspects.
 *
 * @param incarnation Name of this host's incarnation, unique among all incarnations of all hosts.
 * @returns The quarantine.
 */
export function createQuarantine(incarnation: string): Quarantine {
    const entries = new Map<string, SuspectEntry>();
    const finished = new Set<string>();
    const changed = new Set<string>();
    let sequence = 0;
    const getOrCreate = (fingerprint: string): SuspectEntry => getOrCreateEntry(entries, fingerprint);
    const recordOwnLoss = (entry: SuspectEntry, crash: string, presumed: boolean, sinceMilliseconds: number): void => {
        sequence += 1;
        recordLoss(entry, { crash, by: incarnation, sequence, presumed }, sinceMilliseconds);
        changed.add(entry.fingerprint);
    };
    return {
        statusOf: fingerprint => statusOfEntry(entries.get(fingerprint)),
        presumedSince: fingerprint => {
            const entry = entries.get(fingerprint);
            const losses = entry === undefined ? [] : listPresumed(entry);
            return Math.max(Number.NEGATIVE_INFINITY, ...losses.map(loss => loss.sinceMilliseconds));
        },
        recordCrash: (fingerprint, crash) => {
            const entry = getOrCreate(fingerprint);
            entry.crashes.add(crash);
            if (finished.has(fingerprint)) {
                entry.excused.add(crash);
            }
            updateConvicted(entry);
            changed.add(fingerprint);
        },
        presumeCrash: (fingerprint, crash, nowMilliseconds) => {
            if (!finished.has(fingerprint)) {
                recordOwnLoss(getOrCreate(fingerprint), crash, true, nowMilliseconds);
            }
        },
        confirmPresumptions: crash => {
            for (const entry of entries.values()) {
                const ownLoss = listPresumed(entry).find(loss => loss.by === incarnation && loss.crash === crash);
                if (ownLoss !== undefined) {
                    recordOwnLoss(entry, crash, false, ownLoss.sinceMilliseconds);
                    entry.crashes.add(crash);
                    updateConvicted(entry);
                }
            }
        },
        withdrawPresumptions: (crash, aliveAtMilliseconds) => {
            for (const entry of entries.values()) {
                const refuted = listPresumed(entry).filter(loss =>
                    loss.crash === crash && loss.sinceMilliseconds < aliveAtMilliseconds
                );
                for (const loss of refuted) {
                    if (loss.by === incarnation) {
                        recordOwnLoss(entry, crash, false, loss.sinceMilliseconds);
                    }
                    else {
                        withdrawPresumption(entry, loss);
                    }
                }
            }
        },
        recordFinished: fingerprint => {
            addFinished(finished, fingerprint);
            const entry = entries.get(fingerprint);
            if (entry === undefined) {
                return false;
            }
            excuseEntry(entry);
            changed.add(fingerprint);
            return true;
        },
        hasFinished: fingerprint => finished.has(fingerprint),
        merge: (digest, nowMilliseconds) => {
            const entry = getOrCreate(digest.fingerprint);
            const isChanged = mergeDigest(entry, digest, nowMilliseconds);
            if (isChanged && finished.has(digest.fingerprint)) {
                excuseEntry(entry);
            }
            if (isChanged) {
                updateConvicted(entry);
                entry.changedAtMilliseconds = nowMilliseconds;
            }
            return isChanged;
        },
        drainChanged: nowMilliseconds => {
            const drained = [...changed];
            changed.clear();
            for (const fingerprint of drained) {
                const entry = getOrCreate(fingerprint);
                entry.changedAtMilliseconds = nowMilliseconds;
                entries.delete(fingerprint);
                entries.set(fingerprint, entry);
            }
            return drained;
        },
        describe: fingerprint => describeEntry(getOrCreate(fingerprint)),
        listChangedSince: sinceMilliseconds => {
            const recent = [...entries.values()].filter(entry => entry.changedAtMilliseconds > sinceMilliseconds);
            return recent.map(entry => entry.fingerprint);
        },
    };
}

function getOrCreateEntry(entries: Map<string, SuspectEntry>, fingerprint: string): SuspectEntry {
    const known = entries.get(fingerprint);
    if (known !== undefined) {
        return known;
    }
    const created = createSuspectEntry(fingerprint);
    entries.set(fingerprint, created);
    if (entries.size > MAXIMUM_ENTRIES) {
        const oldest = [...entries.values()].find(entry => !entry.convicted) ?? entries.values().next().value;
        entries.delete(oldest?.fingerprint ?? fingerprint);
    }
    return created;
}

function addFinished(finished: Set<string>, fingerprint: string): void {
    finished.delete(fingerprint);
    finished.add(fingerprint);
    if (finished.size > MAXIMUM_FINISHED_FINGERPRINTS) {
        const oldest = finished.values().next().value;
        finished.delete(oldest ?? fingerprint);
    }
}
