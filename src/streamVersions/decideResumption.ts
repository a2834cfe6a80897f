/**
 * Decides at which version a stream may go on.
 *
 * @module
 */

/** What is known of a stream that a caller asks for. */
export interface ResumptionInput {
    /** True where the caller has received events of the stream before. */
    readonly hasEvents: boolean;
    /** The version that is proved to have begun the stream. */
    readonly knownVersion: string | undefined;
    /** True once everyone who may know the stream was asked. */
    readonly isLookedUp: boolean;
}

/** At which version a stream may go on. */
export type Resumption =
    /** It begins, at any version on record. */
    | { readonly type: "begins"; }
    | { readonly type: "goes-on"; readonly version: string; }
    | { readonly type: "look-up"; }
    /** It may have begun at any of several versions, so it cannot go on. */
    | { readonly type: "unknown"; };

/**
 * Decides at which version a stream may go on.
 *
 * @param input What is known of the stream.
 *
 * @example
 * ```ts
 * decideResumption({ hasEvents: true, knownVersion: undefined, isLookedUp: false }); // { type: "look-up" }
 * ```
 */
export function decideResumption({ hasEvents, isLookedUp, knownVersion }: ResumptionInput): Resumption {
    if (!hasEvents) {
        return { type: "begins" };
    }
    if (knownVersion !== undefined) {
        return { type: "goes-on", version: knownVersion };
    }
    return { type: isLookedUp ? "unknown" : "look-up" };
}
