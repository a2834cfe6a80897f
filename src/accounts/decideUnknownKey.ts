/**
 * What a host may say about a key that its configuration does not have.
 *
 * @module
 */

/** What a host knows of configurations that it may lack. */
export interface ConfigurationEvidence {
    /** True where another host has a newer configuration than this one. */
    readonly knowsNewer: boolean;
    /** The key-value service had nothing beyond this host's view at some moment not longer ago than this. */
    readonly millisecondsSinceConfirmed: number;
    /** Time within which each change of the configuration has to be in force. */
    readonly deadlineMilliseconds: number;
}

/** `unknown-key`: no account holds the key. `configuration-outdated`: a newer configuration may have it. */
export type UnknownKeyVerdict = "unknown-key" | "configuration-outdated";

/**
 * Decides whether a request may be refused for good because of this host's configuration. A host whose view was confirmed
 * within the deadline knows one of the configurations of that time; any other may lack the one that allows the request.
 *
 * @param evidence What the host knows.
 *
 * @example
 * ```ts
 * decideUnknownKey({ knowsNewer: false, millisecondsSinceConfirmed: 900, deadlineMilliseconds: 3_000 }); // "unknown-key"
 * ```
 */
export function decideUnknownKey(
    { deadlineMilliseconds, knowsNewer, millisecondsSinceConfirmed }: ConfigurationEvidence,
): UnknownKeyVerdict {
    return knowsNewer || millisecondsSinceConfirmed > deadlineMilliseconds ? "configuration-outdated" : "unknown-key";
}
