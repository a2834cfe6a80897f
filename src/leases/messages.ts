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
    /** Creates `held/<duty>`, bound to the lease that the record names, unless the key exists. */
    | { readonly type: "create-held"; readonly held: HeldRecord; }
    | { readonly type: "swap-record"; readonly record: LeaseRecord; readonly expectedRevision: number; }
    | { readonly type: "renew-lease"; readonly lease: string; }
    | { readonly type: "revoke-lease"; readonly lease: string; };

/** Result of a call on the key-value service. */
export type LeaseAnswer =
    /** The current holder; `undefined` where there is none. */
    | { readonly type: "held"; readonly held: HeldRecord | undefined; }
    /** The duty's record; revision 0 and `undefined` where the key does not exist. */
    | { readonly type: "record"; readonly record: LeaseRecord | undefined; readonly revision: number; }
    | { readonly type: "granted"; readonly lease: string; }
    | { readonly type: "renewed"; readonly timeToLiveMilliseconds: number; }
    /** The write took effect. */
    | { readonly type: "written"; }
    /** The key had another revision; carries its current value. */
    | { readonly type: "conflict"; readonly held?: HeldRecord; readonly record?: LeaseRecord; }
    /** The service refused the call, for example since the lease has ended. */
    | { readonly type: "rejected"; }
    /** No valid answer was received; a write may have taken effect. */
    | { readonly type: "unknown"; };

/** Messages to the decision. */
export type DutyLeaseMessage =
    /** The live hosts, among which candidates for the duty are ranked. */
    | { readonly type: "hosts"; readonly hosts: readonly string[]; }
    | { readonly type: "answered"; readonly call: number; readonly answer: LeaseAnswer; }
    /** Requests that this process release the duty and never acquire it again. */
    | { readonly type: "leave"; }
    | { readonly type: "tick"; };

/** Effects that the caller of the decision performs. */
export type DutyLeaseEffect =
    | { readonly type: "call"; readonly call: number; readonly request: LeaseCall; }
    /** This process holds the duty until the given time, under a higher epoch than all earlier holders. */
    | { readonly type: "acquired"; readonly epoch: number; readonly expiresAtMilliseconds: number; }
    | { readonly type: "renewed"; readonly expiresAtMilliseconds: number; }
    | { readonly type: "lost"; readonly epoch: number; };
