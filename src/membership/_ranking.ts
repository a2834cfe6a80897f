/**
 * Ranks addresses for a caller, and chooses the host that polls an engine.
 *
 * @module
 */
import { type RandomSource, rankByRendezvous } from "../decision/index.js";
import { type HostIdentity } from "../generated/peers.js";

/** Zone and region of a caller, where it states them. */
export interface CallerLocation {
    readonly zone?: string | undefined;
    readonly region?: string | undefined;
}

function distance(identity: HostIdentity, location: CallerLocation): number {
    if (location.zone !== undefined && identity.zone === location.zone) {
        return 0;
    }
    return location.region !== undefined && identity.region === location.region ? 1 : 2;
}

/**
 * Orders hosts by distance from a caller: its zone, its region, all others. Hosts at the same distance come in random
 * order, which spreads callers over them.
 *
 * @param identities Hosts whose addresses callers may get.
 * @param location Where the caller is.
 * @param random Orders hosts at the same distance.
 */
export function rankByDistance(
    identities: readonly HostIdentity[],
    location: CallerLocation,
    random: RandomSource,
): HostIdentity[] {
    const candidates = identities.map(identity => ({
        identity,
        distance: distance(identity, location),
        tieBreaker: random(),
    }));
    candidates.sort((left, right) => left.distance - right.distance || left.tieBreaker - right.tieBreaker);
    return candidates.map(({ identity }) => identity);
}

/**
 * Returns the name of the host that polls an engine: a host of the engine's zone if there is one, else any host.
 *
 * @param engine Name of the engine.
 * @param engineZone Zone of the engine.
 * @param identities Live hosts that are not leaving.
 */
export function choosePoller(
    engine: string,
    engineZone: string,
    identities: readonly HostIdentity[],
): string | undefined {
    const inZone = identities.filter(identity => identity.zone === engineZone);
    const candidates = inZone.length > 0 ? inZone : identities;
    return rankByRendezvous(engine, candidates.map(identity => identity.host))[0];
}
