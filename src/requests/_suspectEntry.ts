/**
 * Crash history of one fingerprint that was in flight on engines that crashed or were lost.
 *
 * @module
 */
import { type PresumedLoss, type SuspectDigest } from "../generated/peers.js";

const CRASHES_TO_CONVICT = 2;

/** How requests with a fingerprint are handled. */
export type FingerprintStatus =
    | "clear"
    /** In flight at one crash: run only alone on an engine. */
    | "suspect"
    /** In flight on two lost engines, at least one crash unconfirmed: not run until both are determined. */
    | "blocked"
    /** In flight at two confirmed crashes: refused permanently. */
    | "convicted";

interface Loss extends PresumedLoss {
    /** From when the loss counts as unconfirmed; an observation of the live engine after this time refutes it. */
    readonly sinceMilliseconds: number;
}

/** One fingerprint with its crash history. */
export interface SuspectEntry {
    readonly fingerprint: string;
    readonly crashes: Set<string>;
    /** Crashes that no longer count, as an engine has since executed the fingerprint to the end. */
    readonly excused: Set<string>;
    /** Latest report of each host incarnation on each engine incarnation. */
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

/** Sets `convicted`, by which the fingerprint is refused permanently, where enough crashes count. */
export function updateConvicted(entry: SuspectEntry): void {
    const counted = [...entry.crashes].filter(crash => !entry.excused.has(crash));
    entry.convicted ||= counted.length >= CRASHES_TO_CONVICT;
}

/** Returns how requests with the fingerprint are handled. */
export function statusOfEntry(entry: SuspectEntry | undefined): FingerprintStatus {
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

/** Returns the losses whose crash is unconfirmed. */
export function listPresumed(entry: SuspectEntry): readonly Loss[] {
    return [...entry.losses.values()].filter(loss => loss.presumed);
}

/** Records a host's report on an engine incarnation unless a later one is known. */
export function recordLoss(entry: SuspectEntry, loss: PresumedLoss, sinceMilliseconds: number): void {
    const key = `${loss.by}/${loss.crash}`;
    const known = entry.losses.get(key);
    if (known === undefined || loss.sequence > known.sequence) {
        entry.losses.set(key, { ...loss, sinceMilliseconds });
    }
}

/** Records that a loss was refuted or its crash confirmed, without a new report of its host. */
export function withdrawPresumption(entry: SuspectEntry, loss: Loss): void {
    entry.losses.set(`${loss.by}/${loss.crash}`, { ...loss, presumed: false });
}

/** Clears all crashes and unconfirmed losses of a fingerprint; `convicted` stays set. */
export function excuseEntry(entry: SuspectEntry): void {
    for (const crash of entry.crashes) {
        entry.excused.add(crash);
    }
    for (const loss of listPresumed(entry)) {
        withdrawPresumption(entry, loss);
    }
}

/** Merges a peer's digest; returns whether it changed anything. */
export function mergeDigest(entry: SuspectEntry, digest: SuspectDigest, nowMilliseconds: number): boolean {
    const before = summarizeMergedState(entry);
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
    return summarizeMergedState(entry) !== before;
}

/** Returns a text that differs before and after a merge that changed the entry. */
function summarizeMergedState(entry: SuspectEntry): string {
    const losses = [...entry.losses.values()].map(loss => loss.sequence);
    return [entry.crashes.size, entry.excused.size, entry.convicted, ...losses].join("/");
}

/** Returns the digest of an entry for peers. */
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
