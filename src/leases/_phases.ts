/**
 * Phases of the decision on a duty.
 *
 * @module
 */

/** A platform lease and the time after which this process no longer relies on it. */
export interface PlatformLease {
    readonly lease: string;
    readonly expiresAtMilliseconds: number;
}

/** Epoch and revision of the duty's record, as read before this process acquires the duty. */
export interface RecordBase {
    readonly epoch: number;
    readonly revision: number;
}

/** The phase in which this process holds the duty. */
export interface HoldingPhase {
    readonly type: "holding";
    readonly epoch: number;
    readonly lease: PlatformLease;
}

/** All phases, from checking for a current holder to holding the duty. */
export type Phase =
    | { readonly type: "idle"; }
    | { readonly type: "checking"; }
    | { readonly type: "reading"; }
    | { readonly type: "granting"; readonly base: RecordBase; }
    | { readonly type: "creating"; readonly base: RecordBase; readonly lease: PlatformLease; }
    | { readonly type: "swapping"; readonly base: RecordBase; readonly lease: PlatformLease; }
    | HoldingPhase
    | { readonly type: "left"; };

/** Returns the platform lease that a phase depends on; `undefined` where it depends on none. */
export function leaseOf(phase: Phase): PlatformLease | undefined {
    return phase.type === "holding" || phase.type === "creating" || phase.type === "swapping"
        ? phase.lease
        : undefined;
}
