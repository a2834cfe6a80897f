/**
 * Messages and effects of the decision that holds one duty under a lease.
 *
 * @module
 */
import { type HeldRecord, type LeaseRecord } from "../generated/platform.js";

/** A call on the key-value service. */
export type LeaseCall =
    | { readonly type: "read-held"; }
    | { readonly type: "read-record"; }
    | { readonly type: "grant-lease"; readonly timeToLiveMilliseconds: number; }
    /** Creates `held/<duty>`, bound to the lease that the record names, where it is missing. */
    | { readonly type: "create-held"; readonly held: HeldRecord; }
    | { readonly type: "swap-record"; readonly record: LeaseRecord; readonly expectedRevision: number; }
    | { readonly type: "renew-lease"; readonly lease: string; }
    | { readonly type: "revoke-lease"; readonly lease: string; };

/** The key-value service's answer to a call. */
export type LeaseAnswer =
    /** Who holds the duty by now; missing for nobody. */
    | { readonly type: "held"; readonly held: HeldRecord | undefined; }
    /** The duty's record; revision 0 and no record where the key does not exist. */
    | { readonly type: "record"; readonly record: LeaseRecord | undefined; readonly revision: number; }
    | { readonly type: "granted"; readonly lease: string; }
    | { readonly type: "renewed"; readonly timeToLiveMilliseconds: number; }
    /** The write took effect. */
    | { readonly type: "written"; }
    /** The key had another revision; it holds this by now. */
    | { readonly type: "conflict"; readonly held?: HeldRecord; readonly record?: LeaseRecord; }
    /** The service refused, as it does for a lease that has ended. */
    | { readonly type: "rejected"; }
    /** No answer came; a write may have taken effect. */
    | { readonly type: "unknown"; };

/** What the decision is told. */
export type DutyLeaseMessage =
    /** Names of the live hosts, among which candidates for the duty are ranked. */
    | { readonly type: "hosts"; readonly hosts: readonly string[]; }
    | { readonly type: "answered"; readonly call: number; readonly answer: LeaseAnswer; }
    /** This host gives the duty up and never takes it again. */
    | { readonly type: "leave"; }
    | { readonly type: "tick"; };

/** What the decision asks for. */
export type DutyLeaseEffect =
    | { readonly type: "call"; readonly call: number; readonly request: LeaseCall; }
    /** This process holds the duty, under an epoch that no earlier holder had, until the time given. */
    | { readonly type: "acquired"; readonly epoch: number; readonly expiresAtMilliseconds: number; }
    | { readonly type: "renewed"; readonly expiresAtMilliseconds: number; }
    | { readonly type: "lost"; readonly epoch: number; };
