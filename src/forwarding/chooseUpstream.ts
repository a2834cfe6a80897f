/**
 * Chooses the upstream of a request.
 *
 * @module
 */
import { type RandomSource } from "../decision/index.js";

/** Requests that a plain service may have, running and waiting, as a share of its slots. */
const MOST_AT_SERVICE_SHARE = 1.15;

/** Requests that an engine may have, as a share of its slots; beyond its batch they would wait where none can pass. */
const MOST_AT_ENGINE_SHARE = 1;

/** What crossing to another zone counts for, as a share of an upstream's slots. */
const OTHER_ZONE_SHARE = 0.12;

/** What a prompt part that the upstream has read lately counts for, as a share of its slots. */
const KNOWN_PROMPT_SHARE = 0.05;

/** So many prompt tokens that an engine has yet to read count for as much as all of its slots. */
const PROMPT_TOKENS_OF_FULL_LOAD = 6_000;

/** Largest random part, which keeps hosts with the same view from choosing alike; a share of an upstream's slots. */
const JITTER_SHARE = 0.03;

/** An upstream that may take the request. */
export interface Candidate {
    readonly id: string;
    readonly slots: number;
    /** True for engines, which run all their requests in one batch. */
    readonly batches: boolean;
    /** Requests it probably has, running and waiting. */
    readonly requests: number;
    /** Prompt tokens that it was sent lately and may still have to read. */
    readonly prefillBacklogTokens: number;
    /** False while another prompt would hold up the streams of an engine that still reads others. */
    readonly acceptsPrompt: boolean;
    readonly sameZone: boolean;
    readonly avoided: boolean;
    /** True where it has read the beginning of the prompt lately. */
    readonly hasCachedPrompt: boolean;
}

/** Outcome of a choice. */
export type Choice =
    | { readonly type: "send"; readonly upstream: string; }
    /** Every candidate has as many waiting as it takes. */
    | { readonly type: "all-full"; }
    /** An engine has room, and takes the request once it has read the prompts before. */
    | { readonly type: "reading"; }
    | { readonly type: "none"; };

function costOf(candidate: Candidate, random: RandomSource): number {
    return candidate.requests / candidate.slots
        + candidate.prefillBacklogTokens / PROMPT_TOKENS_OF_FULL_LOAD
        + (candidate.sameZone ? 0 : OTHER_ZONE_SHARE)
        - (candidate.hasCachedPrompt ? KNOWN_PROMPT_SHARE : 0)
        + random() * JITTER_SHARE;
}

function isFull(candidate: Candidate): boolean {
    const share = candidate.batches ? MOST_AT_ENGINE_SHARE : MOST_AT_SERVICE_SHARE;
    return candidate.requests >= candidate.slots * share;
}

/**
 * Chooses the upstream with the least load for its slots; those that fail often only where nothing else is left.
 *
 * @param candidates Upstreams that may take the request.
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
    const open = candidates.filter(candidate => !isFull(candidate));
    const healthy = open.filter(({ avoided }) => !avoided);
    const eligible = healthy.length > 0 ? healthy : open;
    let best: { readonly id: string; readonly cost: number; } | undefined;
    for (const candidate of eligible.filter(({ acceptsPrompt: takesPrompt }) => takesPrompt)) {
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
