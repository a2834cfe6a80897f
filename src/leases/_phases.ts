/**
 * What the decision on a duty can be in the middle of.
 *
 * @module
 */

/** A platform lease and when this process stops counting on it. */
export interface PlatformLease {
    readonly lease: string;
    readonly expiresAt: number;
}

/** The duty's record as it was read before the duty is taken. */
export interface RecordBase {
    readonly epoch: number;
    readonly revision: number;
}

/** This process holds the duty. */
export interface HoldingPhase {
    readonly type: "holding";
    readonly epoch: number;
    readonly lease: PlatformLease;
}

/** Where the decision stands, from looking whether the duty is free to holding it. */
export type Phase =
    | { readonly type: "idle"; }
    | { readonly type: "checking"; }
    | { readonly type: "reading"; }
    | { readonly type: "granting"; readonly base: RecordBase; }
    | { readonly type: "creating"; readonly base: RecordBase; readonly lease: PlatformLease; }
    | { readonly type: "swapping"; readonly base: RecordBase; readonly lease: PlatformLease; }
    | HoldingPhase
    | { readonly type: "left"; };

/** Gives the platform lease that a phase counts on. */
export function leaseOf(phase: Phase): PlatformLease | undefined {
    return phase.type === "holding" || phase.type === "creating" || phase.type === "swapping"
        ? phase.lease
        : undefined;
}
