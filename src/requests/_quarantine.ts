/**
 * Which request fingerprints were in flight on engines that crashed, and which are refused for good.
 *
 * @module
 */
import { type SuspectDigest } from "../generated/peers.js";
import {
    createSuspectEntry,
    describeEntry,
    dropLoss,
    excuseEntry,
    judgeEntry,
    listPresumed,
    mergeDigest,
    recordLoss,
    type Standing,
    standingOf,
    type SuspectEntry,
} from "./_suspectEntry.js";

const MOST_ENTRIES = 2_048;
const MOST_FINISHED = 4_096;

/** Fingerprints under suspicion, merged over hosts. */
export interface Quarantine {
    standing(fingerprint: string): Standing;
    /** Tells when the latest loss was presumed. */
    presumedSince(fingerprint: string): number;
    /** Counts a proved crash of an engine incarnation that ran the fingerprint. */
    recordCrash(fingerprint: string, crash: string): void;
    /** Notes that an engine incarnation was lost while it ran the fingerprint. */
    presumeCrash(fingerprint: string, crash: string, nowMilliseconds: number): void;
    /** Counts this host's presumptions about an engine incarnation, as its crash is proved; peers count theirs. */
    confirmPresumptions(crash: string): void;
    /** Drops presumptions about an engine incarnation that was seen alive after they were made. */
    withdrawPresumptions(crash: string, aliveAtMilliseconds: number): void;
    /** Excuses a fingerprint that an engine ran to its end; tells whether it was under suspicion. */
    recordFinished(fingerprint: string): boolean;
    /** Tells whether an engine has run the fingerprint to its end. */
    hasFinished(fingerprint: string): boolean;
    /** Takes in what a peer knows; tells whether any of it was news. */
    merge(digest: SuspectDigest, nowMilliseconds: number): boolean;
    /** Takes the fingerprints that changed since the last call. */
    takeChanged(nowMilliseconds: number): readonly string[];
    describe(fingerprint: string): SuspectDigest;
    /** Lists fingerprints with a history that changed after a time, the latest last. */
    listChangedSince(sinceMilliseconds: number): readonly string[];
}

/**
 * Creates a quarantine without suspects.
 *
 * @param processName A name that no other process of any host has had.
 * @returns The quarantine.
 */
export function createQuarantine(processName: string): Quarantine {
    const entries = new Map<string, SuspectEntry>();
    const finished = new Set<string>();
    const changed = new Set<string>();
    let sequence = 0;
    const open = (fingerprint: string): SuspectEntry => openEntry(entries, fingerprint);
    const say = (entry: SuspectEntry, crash: string, presumed: boolean, sinceMilliseconds: number): void => {
        sequence += 1;
        recordLoss(entry, { crash, by: processName, sequence, presumed }, sinceMilliseconds);
        changed.add(entry.fingerprint);
    };
    return {
        standing: fingerprint => standingOf(entries.get(fingerprint)),
        presumedSince: fingerprint => {
            const entry = entries.get(fingerprint);
            const losses = entry === undefined ? [] : listPresumed(entry);
            return Math.max(Number.NEGATIVE_INFINITY, ...losses.map(loss => loss.sinceMilliseconds));
        },
        recordCrash: (fingerprint, crash) => {
            const entry = open(fingerprint);
            entry.crashes.add(crash);
            if (finished.has(fingerprint)) {
                entry.excused.add(crash);
            }
            judgeEntry(entry);
            changed.add(fingerprint);
        },
        presumeCrash: (fingerprint, crash, nowMilliseconds) => {
            if (!finished.has(fingerprint)) {
                say(open(fingerprint), crash, true, nowMilliseconds);
            }
        },
        confirmPresumptions: crash => {
            for (const entry of entries.values()) {
                const own = listPresumed(entry).find(loss => loss.by === processName && loss.crash === crash);
                if (own !== undefined) {
                    say(entry, crash, false, own.sinceMilliseconds);
                    entry.crashes.add(crash);
                    judgeEntry(entry);
                }
            }
        },
        withdrawPresumptions: (crash, aliveAtMilliseconds) => {
            for (const entry of entries.values()) {
                const refuted = listPresumed(entry).filter(loss =>
                    loss.crash === crash && loss.sinceMilliseconds < aliveAtMilliseconds
                );
                for (const loss of refuted) {
                    if (loss.by === processName) {
                        say(entry, crash, false, loss.sinceMilliseconds);
                    }
                    else {
                        dropLoss(entry, loss);
                    }
                }
            }
        },
        recordFinished: fingerprint => {
            rememberFinished(finished, fingerprint);
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
            const entry = open(digest.fingerprint);
            const isNews = mergeDigest(entry, digest, nowMilliseconds);
            if (isNews && finished.has(digest.fingerprint)) {
                excuseEntry(entry);
            }
            if (isNews) {
                judgeEntry(entry);
                entry.changedAtMilliseconds = nowMilliseconds;
            }
            return isNews;
        },
        takeChanged: nowMilliseconds => {
            const taken = [...changed];
            changed.clear();
            for (const fingerprint of taken) {
                const entry = open(fingerprint);
                entry.changedAtMilliseconds = nowMilliseconds;
                entries.delete(fingerprint);
                entries.set(fingerprint, entry);
            }
            return taken;
        },
        describe: fingerprint => describeEntry(open(fingerprint)),
        listChangedSince: sinceMilliseconds => {
            const recent = [...entries.values()].filter(entry => entry.changedAtMilliseconds > sinceMilliseconds);
            return recent.map(entry => entry.fingerprint);
        },
    };
}

function openEntry(entries: Map<string, SuspectEntry>, fingerprint: string): SuspectEntry {
    const known = entries.get(fingerprint);
    if (known !== undefined) {
        return known;
    }
    const created = createSuspectEntry(fingerprint);
    entries.set(fingerprint, created);
    if (entries.size > MOST_ENTRIES) {
        const oldest = [...entries.values()].find(entry => !entry.convicted) ?? entries.values().next().value;
        entries.delete(oldest?.fingerprint ?? fingerprint);
    }
    return created;
}

function rememberFinished(finished: Set<string>, fingerprint: string): void {
    finished.delete(fingerprint);
    finished.add(fingerprint);
    if (finished.size > MOST_FINISHED) {
        const oldest = finished.values().next().value;
        finished.delete(oldest ?? fingerprint);
    }
}
