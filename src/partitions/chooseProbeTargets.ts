/**
 * Chooses the upstreams that a host connects to when it suspects that it reaches none.
 *
 * @module
 */
import { type RandomSource } from "../decision/index.js";
import { type UpstreamAnnouncement } from "../fleet/index.js";

/** Connections of one probe. */
const MAXIMUM_TARGETS = 4;

/**
 * Returns random upstreams, of as many services as possible: all upstreams of one service may be gone at once.
 *
 * @param upstreams The upstreams to choose from.
 * @param random Source of random numbers.
 *
 * @example
 * ```ts
 * const targets = chooseProbeTargets(view.all(), random);
 * ```
 */
export function chooseProbeTargets(
    upstreams: readonly UpstreamAnnouncement[],
    random: RandomSource,
): UpstreamAnnouncement[] {
    const shuffled = upstreams
        .map(upstream => ({ upstream, order: random() }))
        .sort((left, right) => left.order - right.order)
        .map(({ upstream }) => upstream);
    const ofServices = new Set(new Map(shuffled.map(upstream => [upstream.service, upstream])).values());
    return [...new Set([...ofServices, ...shuffled])].slice(0, MAXIMUM_TARGETS);
}
