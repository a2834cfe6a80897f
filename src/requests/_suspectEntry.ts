/**
 * What is known of one fingerprint that was in flight on engines that crashed or were lost.
 *
 * @module
 */
import { type PresumedLoss, type SuspectDigest } from "../generated/peers.js";

const CRASHES_TO_CONVICT = 2;

/** How a fingerprint is treated. */
export type Standing =
    | "clear"
    /** In flight at one crash: run only by itself. */
    | "suspect"
    /** In flight where two engines were lost, not both proved to have crashed: not run until that is known. */
    | "blocked"
    /** Two crashes counted: refused for good. */
    | "convicted";

interface Loss extends PresumedLoss {
    /** From when it is presumed; the engine seen alive later refutes it. */
    readonly sinceMilliseconds: number;
}

/** One fingerprint with its history. */
export interface SuspectEntry {
    readonly fingerprint: string;
    readonly crashes: Set<string>;
    /** Crashes that no longer count, as an engine has run the fingerprint to its end since. */
    readonly excused: Set<string>;
    /** The last word of each host's process on each engine incarnation. */
    readonly losses: Map<string, Loss>;
    convicted: boolean;
    changedAtMilliseconds: number;
}

/** Creates an entry without history. */
export function createSuspectEntry(fingerprint: string): SuspectEntry {
    return {
        fingerprint,
        crashes: new Set(),
        excused: new Set(),
        losses: new Map(),
        convicted: false,
        changedAtMilliseconds: 0,
    };
}

/** Convicts the fingerprint where enough crashes count. */
export function judgeEntry(entry: SuspectEntry): void {
    const counted = [...entry.crashes].filter(crash => !entry.excused.has(crash));
    entry.convicted ||= counted.length >= CRASHES_TO_CONVICT;
}

/** Tells how the fingerprint is treated. */
export function standingOf(entry: SuspectEntry | undefined): Standing {
    if (entry === undefined) {
        return "clear";
    }
    if (entry.convicted) {
        return "convicted";
    }
    const lost = new Set([...entry.crashes].filter(crash => !entry.excused.has(crash)));
    for (const loss of listPresumed(entry)) {
        if (!entry.crashes.has(loss.crash)) {
            lost.add(loss.crash);
        }
    }
    if (lost.size >= CRASHES_TO_CONVICT) {
        return "blocked";
    }
    return lost.size === 0 ? "clear" : "suspect";
}

/** Lists the losses that are presumed now. */
export function listPresumed(entry: SuspectEntry): readonly Loss[] {
    return [...entry.losses.values()].filter(loss => loss.presumed);
}

/** Keeps a host's word on an engine incarnation unless a later one is known. */
export function recordLoss(entry: SuspectEntry, loss: PresumedLoss, sinceMilliseconds: number): void {
    const key = `${loss.by}/${loss.crash}`;
    const known = entry.losses.get(key);
    if (known === undefined || loss.sequence > known.sequence) {
        entry.losses.set(key, { ...loss, sinceMilliseconds });
    }
}

/** Notes that a loss is refuted or has become a proved crash, without a new word of its host. */
export function dropLoss(entry: SuspectEntry, loss: Loss): void {
    entry.losses.set(`${loss.by}/${loss.crash}`, { ...loss, presumed: false });
}

/** Takes back everything that is held against a fingerprint that is not convicted. */
export function excuseEntry(entry: SuspectEntry): void {
    for (const crash of entry.crashes) {
        entry.excused.add(crash);
    }
    for (const loss of listPresumed(entry)) {
        dropLoss(entry, loss);
    }
}

/** Takes in what a peer knows; tells whether any of it was news. */
export function mergeDigest(entry: SuspectEntry, digest: SuspectDigest, nowMilliseconds: number): boolean {
    const before = condense(entry);
    for (const crash of digest.crashes) {
        entry.crashes.add(crash);
    }
    for (const crash of digest.excused ?? []) {
        entry.excused.add(crash);
    }
    for (const loss of digest.losses ?? []) {
        recordLoss(entry, loss, nowMilliseconds);
    }
    entry.convicted ||= digest.convicted ?? false;
    return condense(entry) !== before;
}

/** Condenses what merging can change. */
function condense(entry: SuspectEntry): string {
    const losses = [...entry.losses.values()].map(loss => loss.sequence);
    return [entry.crashes.size, entry.excused.size, entry.convicted, ...losses].join("/");
}

/** Describes an entry for peers. */
export function describeEntry(entry: SuspectEntry): SuspectDigest {
    return {
        fingerprint: entry.fingerprint,
        crashes: [...entry.crashes],
        excused: [...entry.excused],
        losses: [...entry.losses.values()].map(({ by, crash, presumed, sequence }) => ({
            by,
            crash,
            presumed,
            sequence,
        })),
        convicted: entry.convicted,
    };
}
