/**
 * What hosts know and tell each other of crashes and of the requests that caused them.
 *
 * @module
 */

/** The properties of a request that other requests can share, one of which may crash upstreams. */
export interface RequestAttributes {
    /** Equal for a request that is sent again. */
    readonly fingerprint: string;
    /** Parts of the prompt that other requests can share; the last part is not among them. */
    readonly parts: readonly string[];
}

/** An upstream's incarnation on which a request was lost before its answer had begun. */
export interface LostRun {
    readonly incarnation: string;
    /** Time since the connection was lost. */
    readonly ageMilliseconds: number;
    /** Whether the incarnation is known to have crashed; otherwise only the connection may have been reset. */
    readonly isCrash: boolean;
}

/** A request that was lost, with the parts that are not known to be sound. */
export interface CrashEvidence {
    readonly fingerprint: string;
    readonly runs: readonly LostRun[];
    readonly parts: readonly string[];
}

/** A part, or a request, of which an answer was seen on an upstream that lived on. */
export interface SoundAttribute {
    /** `part:91bd3f06` or `request:f31a`. */
    readonly attribute: string;
    /** Time since the answer. */
    readonly ageMilliseconds: number;
}

/** A request under suspicion that a host has sent; the other hosts hold back what shares these attributes. */
export interface TrialClaim {
    readonly fingerprint: string;
    readonly attributes: readonly string[];
    /** Time since its host last said so. */
    readonly ageMilliseconds: number;
}

/** Attributes that crash upstreams: a request that has all of them is refused. */
export interface Conviction {
    /** One attribute, or several that came only together: `part:91bd3f06` or `request:f31a`. */
    readonly attributes: readonly string[];
    /** Separate crashes that they explain. */
    readonly crashes: number;
    readonly ageMilliseconds: number;
    /** Time until one request is tried again. */
    readonly remainingMilliseconds: number;
}

/** What a host publishes in its digests, or a representative in its aggregates; all lists are empty in calm. */
export interface CrashReport {
    readonly suspects: readonly CrashEvidence[];
    readonly sound: readonly SoundAttribute[];
    readonly convictions: readonly Conviction[];
    readonly trials: readonly TrialClaim[];
}

/** Whether a request may be sent now. */
export type Verdict =
    | { readonly type: "accepted"; }
    /** Not now: another request with the attribute is tried, or its evidence may be incomplete. */
    | { readonly type: "doubted"; readonly attribute: string; readonly untilMilliseconds: number; }
    | {
        readonly type: "refused";
        readonly attribute: string;
        readonly crashes: number;
        readonly ageMilliseconds: number;
    };

/** A change for the log. */
export type CrashChange =
    /** `isOwn` where this host concluded it; otherwise a peer told it. */
    | { readonly type: "convicted"; readonly conviction: Conviction; readonly isOwn: boolean; }
    /** An answer on the attribute was seen. */
    | { readonly type: "lifted"; readonly conviction: Conviction; readonly attribute: string; };
