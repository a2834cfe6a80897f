/**
 * Which request fingerprints were in flight on engines that crashed, and which are refused for good.
 *
 * @module
 */
import { type SuspectDigest } from "../generated/peers.js";

const CRASHES_TO_CONVICT = 2;
const MOST_ENTRIES = 2_048;
const MOST_FINISHED = 4_096;
const PRESUMPTION_MILLISECONDS = 60_000;

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
    /** Lost engine incarnations with the time at which the presumption ends. */
    readonly presumed: Map<string, number>;
    /** Presumptions that this host made itself, which are the ones it shares. */
    readonly ownPresumed: Set<string>;
    convicted: boolean;
}

/** Fingerprints under suspicion, merged over hosts. */
export interface Quarantine {
    standing(fingerprint: string, nowMilliseconds: number): Standing;
    /** Counts a proved crash of an engine incarnation that ran the fingerprint. */
    recordCrash(fingerprint: string, crash: string): void;
    /** Notes that an engine incarnation was lost while it ran the fingerprint. */
    presumeCrash(fingerprint: string, crash: string, nowMilliseconds: number): void;
    /** Counts all presumptions about an engine incarnation, as its crash is proved. */
    confirmPresumptions(crash: string): void;
    /** Drops all presumptions about an engine incarnation that was heard of again. */
    withdrawPresumptions(crash: string): void;
    /** Excuses a fingerprint that an engine ran to its end; tells whether it was under suspicion. */
    recordFinished(fingerprint: string): boolean;
    merge(digest: SuspectDigest, nowMilliseconds: number): void;
    /** Takes the fingerprints that changed since the last call. */
    takeChanged(): readonly string[];
    describe(fingerprint: string, nowMilliseconds: number): SuspectDigest;
    /** Lists fingerprints with a history, the latest first. */
    list(): readonly string[];
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
        standing: (fingerprint, nowMilliseconds) => standingOf(entries.get(fingerprint), nowMilliseconds),
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
            const entry = open(fingerprint);
            entry.presumed.set(crash, nowMilliseconds + PRESUMPTION_MILLISECONDS);
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
        withdrawPresumptions: crash => {
            for (const entry of entries.values()) {
                entry.presumed.delete(crash);
                entry.ownPresumed.delete(crash);
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
            if (fingerprintState(entry) !== before) {
                settle(entry);
            }
        },
        takeChanged: () => {
            const taken = [...changed];
            changed.clear();
            return taken;
        },
        describe: (fingerprint, nowMilliseconds) => describeEntry(open(fingerprint), nowMilliseconds),
        list: () => [...entries.keys()].reverse(),
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

function countPresumed(entry: Entry, nowMilliseconds: number): number {
    const open = [...entry.presumed].filter(([crash, until]) => until > nowMilliseconds && !entry.crashes.has(crash));
    return open.length;
}

function standingOf(entry: Entry | undefined, nowMilliseconds: number): Standing {
    if (entry === undefined) {
        return "clear";
    }
    if (entry.convicted) {
        return "convicted";
    }
    const lost = countCrashes(entry) + countPresumed(entry, nowMilliseconds);
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
        entry.presumed.set(crash, nowMilliseconds + PRESUMPTION_MILLISECONDS);
    }
    entry.convicted ||= digest.convicted ?? false;
}

/** Condenses what merging can change, to tell news from repetition. */
function fingerprintState(entry: Entry): string {
    return [entry.crashes.size, entry.excused.size, entry.presumed.size, entry.convicted].join("/");
}

function describeEntry(entry: Entry, nowMilliseconds: number): SuspectDigest {
    const presumed = [...entry.ownPresumed].filter(crash => (entry.presumed.get(crash) ?? 0) > nowMilliseconds);
    return {
        fingerprint: entry.fingerprint,
        crashes: [...entry.crashes],
        excused: [...entry.excused],
        presumed,
        convicted: entry.convicted,
    };
}
