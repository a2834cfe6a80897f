/**
 * Which request fingerprints were in flight on engines that crashed, and which are refused for good.
 *
 * @module
 */
import { type SuspectDigest } from "../generated/peers.js";

const CRASHES_TO_CONVICT = 2;
const MOST_ENTRIES = 2_048;
const MOST_FINISHED = 4_096;

/** How a fingerprint is treated. */
export type Standing =
    | "clear"
    /** In flight at one crash: run only by itself. */
    | "suspect"
    /** In flight where two engines were lost, not both proved to have crashed: not run until that is known. */
    | "blocked"
    /** Two crashes counted: refused for good. */
    | "convicted";

interface Entry {
    readonly fingerprint: string;
    readonly crashes: Set<string>;
    readonly excused: Set<string>;
    /** Lost engine incarnations with the time from which that is presumed. */
    readonly presumed: Map<string, number>;
    /** Presumptions that this host made itself, which are the ones it shares. */
    readonly ownPresumed: Set<string>;
    convicted: boolean;
    changedAtMilliseconds: number;
}

/** Fingerprints under suspicion, merged over hosts. */
export interface Quarantine {
    standing(fingerprint: string): Standing;
    /** Counts a proved crash of an engine incarnation that ran the fingerprint. */
    recordCrash(fingerprint: string, crash: string): void;
    /** Notes that an engine incarnation was lost while it ran the fingerprint. */
    presumeCrash(fingerprint: string, crash: string, nowMilliseconds: number): void;
    /** Counts all presumptions about an engine incarnation, as its crash is proved. */
    confirmPresumptions(crash: string): void;
    /** Drops presumptions about an engine incarnation that was seen alive after they were made. */
    withdrawPresumptions(crash: string, aliveAtMilliseconds: number): void;
    /** Tells whether an engine has run the fingerprint to its end. */
    hasFinished(fingerprint: string): boolean;
    /** Excuses a fingerprint that an engine ran to its end; tells whether it was under suspicion. */
    recordFinished(fingerprint: string): boolean;
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
 * @returns The quarantine.
 */
export function createQuarantine(): Quarantine {
    const entries = new Map<string, Entry>();
    const finished = new Set<string>();
    const changed = new Set<string>();
    const open = (fingerprint: string): Entry => openEntry(entries, fingerprint);
    const settle = (entry: Entry): void => {
        if (countCrashes(entry) >= CRASHES_TO_CONVICT) {
            entry.convicted = true;
        }
        changed.add(entry.fingerprint);
    };
    return {
        standing: fingerprint => standingOf(entries.get(fingerprint)),
        hasFinished: fingerprint => finished.has(fingerprint),
        recordCrash: (fingerprint, crash) => {
            const entry = open(fingerprint);
            if (entry.crashes.has(crash)) {
                return;
            }
            entry.crashes.add(crash);
            if (finished.has(fingerprint)) {
                entry.excused.add(crash);
            }
            settle(entry);
        },
        presumeCrash: (fingerprint, crash, nowMilliseconds) => {
            if (finished.has(fingerprint)) {
                return;
            }
            const entry = open(fingerprint);
            entry.presumed.set(crash, nowMilliseconds);
            entry.ownPresumed.add(crash);
            changed.add(fingerprint);
        },
        confirmPresumptions: crash => {
            for (const entry of entries.values()) {
                if (entry.presumed.delete(crash)) {
                    entry.crashes.add(crash);
                    settle(entry);
                }
            }
        },
        withdrawPresumptions: (crash, aliveAtMilliseconds) => {
            for (const entry of entries.values()) {
                if ((entry.presumed.get(crash) ?? Number.POSITIVE_INFINITY) < aliveAtMilliseconds) {
                    entry.presumed.delete(crash);
                    entry.ownPresumed.delete(crash);
                }
            }
        },
        recordFinished: fingerprint => {
            rememberFinished(finished, fingerprint);
            const entry = entries.get(fingerprint);
            if (entry === undefined) {
                return false;
            }
            excuseAll(entry);
            changed.add(fingerprint);
            return true;
        },
        merge: (digest, nowMilliseconds) => {
            const entry = open(digest.fingerprint);
            const before = fingerprintState(entry);
            mergeDigest(entry, digest, nowMilliseconds);
            if (finished.has(digest.fingerprint) && !entry.convicted) {
                excuseAll(entry);
            }
            if (fingerprintState(entry) === before) {
                return false;
            }
            settle(entry);
            return true;
        },
        takeChanged: nowMilliseconds => {
            const taken = [...changed];
            for (const fingerprint of taken) {
                const entry = open(fingerprint);
                entry.changedAtMilliseconds = nowMilliseconds;
                entries.delete(fingerprint);
                entries.set(fingerprint, entry);
            }
            changed.clear();
            return taken;
        },
        describe: fingerprint => describeEntry(open(fingerprint)),
        listChangedSince: sinceMilliseconds => {
            const recent = [...entries.values()].filter(entry => entry.changedAtMilliseconds > sinceMilliseconds);
            return recent.map(entry => entry.fingerprint);
        },
    };
}

function openEntry(entries: Map<string, Entry>, fingerprint: string): Entry {
    const known = entries.get(fingerprint);
    if (known !== undefined) {
        return known;
    }
    const created: Entry = {
        fingerprint,
        crashes: new Set(),
        excused: new Set(),
        presumed: new Map(),
        ownPresumed: new Set(),
        convicted: false,
        changedAtMilliseconds: 0,
    };
    entries.set(fingerprint, created);
    if (entries.size > MOST_ENTRIES) {
        const oldest = [...entries.values()].find(entry => !entry.convicted) ?? entries.values().next().value;
        entries.delete(oldest?.fingerprint ?? fingerprint);
    }
    return created;
}

function countCrashes(entry: Entry): number {
    return [...entry.crashes].filter(crash => !entry.excused.has(crash)).length;
}

function countPresumed(entry: Entry): number {
    return [...entry.presumed.keys()].filter(crash => !entry.crashes.has(crash)).length;
}

function standingOf(entry: Entry | undefined): Standing {
    if (entry === undefined) {
        return "clear";
    }
    if (entry.convicted) {
        return "convicted";
    }
    const lost = countCrashes(entry) + countPresumed(entry);
    if (lost >= CRASHES_TO_CONVICT) {
        return "blocked";
    }
    return lost === 0 ? "clear" : "suspect";
}

function excuseAll(entry: Entry): void {
    for (const crash of entry.crashes) {
        entry.excused.add(crash);
    }
    entry.presumed.clear();
    entry.ownPresumed.clear();
}

function rememberFinished(finished: Set<string>, fingerprint: string): void {
    finished.delete(fingerprint);
    finished.add(fingerprint);
    if (finished.size > MOST_FINISHED) {
        const oldest = finished.values().next().value;
        finished.delete(oldest ?? fingerprint);
    }
}

function mergeDigest(entry: Entry, digest: SuspectDigest, nowMilliseconds: number): void {
    for (const crash of digest.crashes) {
        entry.crashes.add(crash);
    }
    for (const crash of digest.excused ?? []) {
        entry.excused.add(crash);
    }
    for (const crash of digest.presumed ?? []) {
        entry.presumed.set(crash, entry.presumed.get(crash) ?? nowMilliseconds);
    }
    entry.convicted ||= digest.convicted ?? false;
}

/** Condenses what merging can change, to tell news from repetition. */
function fingerprintState(entry: Entry): string {
    return [entry.crashes.size, entry.excused.size, entry.presumed.size, entry.convicted].join("/");
}

function describeEntry(entry: Entry): SuspectDigest {
    const presumed = [...entry.ownPresumed].filter(crash => entry.presumed.has(crash));
    return {
        fingerprint: entry.fingerprint,
        crashes: [...entry.crashes],
        excused: [...entry.excused],
        presumed,
        convicted: entry.convicted,
    };
}
