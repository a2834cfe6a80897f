/**
 * Order of addresses for a caller, and the host that polls an engine.
 *
 * @module
 */
import { type RandomSource, rankByRendezvous } from "../decision/index.js";
import { type HostIdentity } from "../generated/peers.js";

/** Where a caller stands, as far as it says. */
export interface CallerPlace {
    readonly zone?: string | undefined;
    readonly region?: string | undefined;
}

function distance(identity: HostIdentity, place: CallerPlace): number {
    if (place.zone !== undefined && identity.zone === place.zone) {
        return 0;
    }
    return place.region !== undefined && identity.region === place.region ? 1 : 2;
}

/**
 * Orders hosts by distance from a caller; hosts at one distance come in random order, so that callers spread.
 *
 * @param identities Hosts that may be given to callers.
 * @param place Where the caller stands.
 * @param random Spreads callers over hosts at one distance.
 */
export function rankByDistance(
    identities: readonly HostIdentity[],
    place: CallerPlace,
    random: RandomSource,
): HostIdentity[] {
    const weighed = identities.map(identity => ({
        identity,
        distance: distance(identity, place),
        weight: random(),
    }));
    weighed.sort((left, right) => left.distance - right.distance || left.weight - right.weight);
    return weighed.map(({ identity }) => identity);
}

/**
 * Names the host that polls an engine: one of the engine's zone where any is there.
 *
 * @param engine Name of the engine.
 * @param engineZone Zone of the engine.
 * @param identities Hosts that stay.
 */
export function choosePoller(
    engine: string,
    engineZone: string,
    identities: readonly HostIdentity[],
): string | undefined {
    const near = identities.filter(identity => identity.zone === engineZone);
    const candidates = near.length > 0 ? near : identities;
    return rankByRendezvous(engine, candidates.map(identity => identity.host))[0];
}
