/**
 * Chooses the upstream of a request.
 *
 * @module
 */
import { type RandomSource } from "../decision/index.js";

/** Maximum requests of a plain service, running and waiting, as a share of its slots. */
const MAXIMUM_SERVICE_LOAD_SHARE = 1.15;

/** Maximum requests of an engine, as a share of its slots; more would wait in its queue, where none can overtake. */
const MAXIMUM_ENGINE_LOAD_SHARE = 1;

/**
 * Maximum requests of an engine for a stream that goes on, as a share of its slots. It may be able to go on at this engine
 * only, so it takes the next slot before requests that hosts hold back.
 */
const MAXIMUM_RESUMED_LOAD_SHARE = 1.25;

/** Largest share of an upstream's slots that a request leaves free for more urgent ones. */
const MAXIMUM_FREE_SHARE = 0.25;

/** Cost of an upstream in another zone, as a share of its slots. */
const OTHER_ZONE_SHARE = 0.12;

/**
 * The same where upstreams report how fast they work. It exceeds most differences of load and rank, since traffic
 * between availability zones is expensive.
 */
const REPORTING_OTHER_ZONE_SHARE = 0.5;

/** Maximum cost of an upstream that ranks last for this host, as a share of its slots. */
const HOST_RANK_SHARE = 0.6;

/** Prefill of long prompts in progress beside which an upstream is fully avoided by other prompts. */
const LONG_PROMPT_TOKENS = 1_500;

/** Cost of long prompts in progress for other prompts, and cost reduction for a further long one. */
const LONG_PROMPT_SHARE = 0.2;

/** Cost reduction for a prompt prefix that the upstream recently prefilled, as a share of its slots. */
const CACHED_PROMPT_SHARE = 0.05;

/**
 * Load per slot that an idle upstream of the usual speed counts as where speeds differ. An idle upstream of half the
 * speed then costs as much as one of the usual speed at this load.
 */
const OWN_WORK_SHARE = 0.1;

/** Prefill backlog that costs as much as the use of all slots. */
const FULL_LOAD_BACKLOG_TOKENS = 6_000;

/** Maximum random cost, a share of an upstream's slots; keeps hosts with the same view from choosing alike. */
const JITTER_SHARE = 0.03;

/** An upstream that the request may be sent to. */
export interface Candidate {
    readonly id: string;
    readonly slots: number;
    /** True for engines, which run all their requests in one batch. */
    readonly batches: boolean;
    /** True for a stream that goes on, which may wait in the queue of an engine. */
    readonly mayQueue: boolean;
    /** Estimated number of its requests, running and waiting. */
    readonly requests: number;
    /** False while requests of this host use all its connections to the upstream; another would wait for one of them. */
    readonly hasFreeConnection: boolean;
    /** Slots that the request leaves free for more urgent ones; none by default. */
    readonly slotsLeftFree?: number;
    /** Prompt tokens that it was sent recently and probably has not prefilled yet. */
    readonly prefillBacklogTokens: number;
    /** False while another prompt would delay the streams of an engine that is still prefilling others. */
    readonly acceptsPrompt: boolean;
    readonly sameZone: boolean;
    readonly avoided: boolean;
    /** True where it recently prefilled the beginning of the prompt. */
    readonly hasCachedPrompt: boolean;
    /** How long work takes there now, relative to the usual of its service; 1 where nothing is known. */
    readonly slowdown: number;
    /** Its rank for this host, from 0 (first choice) to 1; `undefined` where it does not report how fast it works. */
    readonly hostRank: number | undefined;
    /** Tokens of long prompts that it probably has not prefilled yet; 0 where it does not report how fast it works. */
    readonly longPromptTokens: number;
    /** True where the request's own prompt is long; it goes where others keep short ones away already. */
    readonly hasLongPrompt: boolean;
    /** Estimated tokens of its requests and of this one, as a share of its memory; 0 where they are not known. */
    readonly memoryShare: number;
}

/** Outcome of a choice. */
export type Choice =
    | { readonly type: "send"; readonly upstream: string; }
    /** Every candidate has its maximum number of requests, or no free connection. */
    | { readonly type: "all-full"; }
    /** Those that have room tolerate few rejections, and may reject the request. */
    | { readonly type: "may-reject"; }
    /** An engine has room, and accepts the request once it has prefilled more of its backlog. */
    | { readonly type: "reading"; }
    | { readonly type: "none"; };

/** Steers long prompts together, so that the first tokens of other prompts wait for them at few engines. */
function longPromptCost({ hasLongPrompt, longPromptTokens }: Candidate): number {
    const cost = Math.min(1, longPromptTokens / LONG_PROMPT_TOKENS) * LONG_PROMPT_SHARE;
    return hasLongPrompt ? -cost : cost;
}

/**
 * Returns the expected time until the request is complete, in the time that all slots of an upstream of the usual speed
 * take. For upstreams that report no speed this is their load per slot.
 */
function costOf(candidate: Candidate, random: RandomSource): number {
    const { memoryShare, hostRank, slowdown } = candidate;
    const otherZoneShare = hostRank === undefined ? OTHER_ZONE_SHARE : REPORTING_OTHER_ZONE_SHARE;
    return Math.max(candidate.requests / candidate.slots, memoryShare) * slowdown
        + candidate.prefillBacklogTokens / FULL_LOAD_BACKLOG_TOKENS * slowdown
        + (candidate.sameZone ? 0 : otherZoneShare)
        - (candidate.hasCachedPrompt ? CACHED_PROMPT_SHARE : 0)
        + random() * JITTER_SHARE
        + OWN_WORK_SHARE * (slowdown - 1)
        + (hostRank ?? 0) * HOST_RANK_SHARE
        + longPromptCost(candidate);
}

function hasMemory({ memoryShare }: Candidate): boolean {
    return memoryShare <= 1;
}

function isFull(candidate: Candidate): boolean {
    const { batches, hasFreeConnection, mayQueue, requests, slots, slotsLeftFree = 0 } = candidate;
    const engineShare = mayQueue ? MAXIMUM_RESUMED_LOAD_SHARE : MAXIMUM_ENGINE_LOAD_SHARE;
    const maximumRequests = slots * (batches ? engineShare : MAXIMUM_SERVICE_LOAD_SHARE);
    const leftFree = Math.min(slotsLeftFree, Math.floor(slots * MAXIMUM_FREE_SHARE));
    return !hasFreeConnection || requests >= maximumRequests - leftFree;
}

/**
 * Chooses the upstream with the lowest cost, which is mainly its load per slot; those that fail often, and then those
 * whose memory the request may exceed, are chosen only where no other has room.
 *
 * @param candidates Upstreams that the request may be sent to.
 * @param random Source of the jitter.
 *
 * @example
 * ```ts
 * const choice = chooseUpstream(candidates, Math.random);
 * ```
 */
export function chooseUpstream(candidates: readonly Candidate[], random: RandomSource): Choice {
    if (candidates.length === 0) {
        return { type: "none" };
    }
    const withRoom = candidates.filter(candidate => !isFull(candidate));
    const healthy = withRoom.filter(({ avoided }) => !avoided);
    const eligible = healthy.length > 0 ? healthy : withRoom;
    const needsMemory = eligible.some(hasMemory);
    let best: { readonly id: string; readonly cost: number; } | undefined;
    for (const candidate of eligible) {
        if (!candidate.acceptsPrompt || (needsMemory && !hasMemory(candidate))) {
            continue;
        }
        const cost = costOf(candidate, random);
        if (best === undefined || cost < best.cost) {
            best = { id: candidate.id, cost };
        }
    }
    if (best !== undefined) {
        return { type: "send", upstream: best.id };
    }
    return { type: eligible.length > 0 ? "reading" : "all-full" };
}
