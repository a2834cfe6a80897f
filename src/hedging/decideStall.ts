/**
 * Decides what to do about a request whose answer has stalled.
 *
 * @module
 */

/** Time before the limit at which other upstreams are probed, so that their answers are in when it is reached. */
const PROBE_LEAD_MILLISECONDS = 100;

/** Interval at which a stalled request is looked at again while no other upstream can take it. */
export const STALL_RECHECK_MILLISECONDS = 60;

/**
 * What is known of the other upstreams: none accepts the request now; some accept it, but none of them was heard a
 * moment ago; or one of these was.
 */
export type Alternative = "none" | "unproven" | "alive";

/** What is known of a request when its silence is looked at. */
export interface Stall {
    /** Time since a byte of the request's answer was received, or since it was last sent. */
    readonly quietMilliseconds: number;
    /** Silence from which the request is sent to another upstream beside the silent one. */
    readonly limitMilliseconds: number;
    /** True where the upstream has so many requests that this one may be queued there. */
    readonly isBusy: boolean;
    /** Evaluated only where the request has been silent for long enough. */
    readonly alternative: () => Alternative;
}

/** What to do about a silent request, and when to look at it again. */
export type StallDecision =
    | { readonly type: "wait"; readonly milliseconds: number; }
    /** Probe other upstreams. */
    | { readonly type: "probe"; readonly milliseconds: number; }
    /** Send the request to another upstream that is alive, beside the silent one. */
    | { readonly type: "hedge"; };

/**
 * Decides what to do about a request whose answer has stalled. Where no other upstream is known to answer, the request
 * stays where it is: its upstream may have paused together with the others.
 *
 * @param stall What is known of the request and of other upstreams.
 *
 * @example
 * ```ts
 * decideStall({ quietMilliseconds: 1_200, limitMilliseconds: 1_200, isBusy: false, alternative: () => "alive" });
 * // { type: "hedge" }
 * ```
 */
export function decideStall({ alternative, isBusy, limitMilliseconds, quietMilliseconds }: Stall): StallDecision {
    const remainingMilliseconds = limitMilliseconds - quietMilliseconds;
    if (remainingMilliseconds > PROBE_LEAD_MILLISECONDS) {
        return { type: "wait", milliseconds: remainingMilliseconds - PROBE_LEAD_MILLISECONDS };
    }
    if (isBusy) {
        return { type: "wait", milliseconds: limitMilliseconds };
    }
    const milliseconds = remainingMilliseconds > 0 ? remainingMilliseconds : STALL_RECHECK_MILLISECONDS;
    switch (alternative()) {
        case "none":
            return { type: "wait", milliseconds };
        case "unproven":
            return { type: "probe", milliseconds };
        case "alive":
            return remainingMilliseconds > 0 ? { type: "wait", milliseconds } : { type: "hedge" };
    }
}
