/**
 * Which hosts get a heartbeat, and how long silence lasts before a host counts as lost.
 *
 * Up to `FULL_MESH_HOSTS` hosts, everybody tells everybody. Beyond that, a host tells a few random hosts of its zone,
 * and a few relays of each zone tell each other zone.
 *
 * @module
 */
import { type RandomSource } from "../decision/index.js";
import { type HostIdentity } from "../generated/peers.js";

/** Deployments of up to this many hosts exchange heartbeats between all pairs. */
export const FULL_MESH_HOSTS = 12;
/** Hosts of its own zone that a host tells with each heartbeat, beyond the full mesh. */
export const ZONE_FAN_OUT = 2;
/** Hosts of one zone that carry its heartbeats to one other zone. */
export const RELAYS_PER_ZONE_PAIR = 2;

const FAILURE_TIMEOUT_MILLISECONDS = 3000;
const SPREAD_ROUND_MILLISECONDS = 1200;
const OTHER_ZONE_TIMEOUT_MILLISECONDS = 90_000;
const WHOLE_ZONE_TIMEOUT_MILLISECONDS = 20_000;
/** A zone of at least this many hosts counts as lost when none of them is heard of. */
const WHOLE_ZONE_HOSTS = 8;

/**
 * Takes up to `count` members at random.
 *
 * @param items Candidates; left as they are.
 * @param count Most to take.
 * @param random Decides which.
 */
export function sample<Item>(items: readonly Item[], count: number, random: RandomSource): Item[] {
    const rest = [...items];
    const taken: Item[] = [];
    while (taken.length < count && rest.length > 0) {
        const [item] = rest.splice(Math.floor(random() * rest.length), 1);
        if (item !== undefined) {
            taken.push(item);
        }
    }
    return taken;
}

function otherZones(self: HostIdentity, peers: readonly HostIdentity[]): string[] {
    return [...new Set(peers.map(peer => peer.zone))].filter(zone => zone !== self.zone).sort();
}

/** Gives the zones that this host relays to: relay duties go round the hosts of its zone, in the order of names. */
function relayedZones(self: HostIdentity, peers: readonly HostIdentity[]): string[] {
    const own = [self, ...peers.filter(peer => peer.zone === self.zone)].map(peer => peer.host).sort();
    const position = own.indexOf(self.host);
    return otherZones(self, peers).filter((_zone, zoneIndex) =>
        Array.from({ length: RELAYS_PER_ZONE_PAIR }, (_, relay) => (zoneIndex * RELAYS_PER_ZONE_PAIR + relay))
            .some(duty => duty % own.length === position)
    );
}

/**
 * Chooses the live peers that get this heartbeat.
 *
 * @param self This host.
 * @param peers Live peers, in a defined order.
 * @param random Chooses within a zone.
 */
export function chooseTargets(
    self: HostIdentity,
    peers: readonly HostIdentity[],
    random: RandomSource,
): readonly HostIdentity[] {
    if (peers.length < FULL_MESH_HOSTS) {
        return peers;
    }
    const near = sample(peers.filter(peer => peer.zone === self.zone), ZONE_FAN_OUT, random);
    const far = relayedZones(self, peers).flatMap(zone => sample(peers.filter(peer => peer.zone === zone), 1, random));
    return [...near, ...far];
}

/** What the failure detector looks at. */
export interface WatchedHost {
    readonly identity: HostIdentity;
    readonly progressedAtMilliseconds: number;
    readonly lostAtMilliseconds: number | undefined;
}

/** Gives, for each zone, when any of its hosts was last heard of, and how many hosts it has. */
function zonesHeard(hosts: readonly WatchedHost[]): ReadonlyMap<string, { lastMilliseconds: number; hosts: number; }> {
    const zones = new Map<string, { lastMilliseconds: number; hosts: number; }>();
    for (const { identity, progressedAtMilliseconds } of hosts) {
        const zone = zones.get(identity.zone) ?? { lastMilliseconds: -Infinity, hosts: 0 };
        zone.lastMilliseconds = Math.max(zone.lastMilliseconds, progressedAtMilliseconds);
        zone.hosts += 1;
        zones.set(identity.zone, zone);
    }
    return zones;
}

/**
 * Finds hosts that were silent for too long.
 *
 * Hosts of other zones are judged by their own zones, which tell of a loss; here they count as lost after a long
 * silence, or when their whole zone is silent.
 *
 * @param self This host.
 * @param all Every host that is known; those that are lost already count for the size of their zone.
 * @param nowMilliseconds The time of the judgement.
 */
export function findSilent<Host extends WatchedHost>(
    self: HostIdentity,
    all: readonly Host[],
    nowMilliseconds: number,
): Host[] {
    const hosts = all.filter(host => host.lostAtMilliseconds === undefined);
    const silence = (host: WatchedHost): number => nowMilliseconds - host.progressedAtMilliseconds;
    if (hosts.length < FULL_MESH_HOSTS) {
        return hosts.filter(host => silence(host) > FAILURE_TIMEOUT_MILLISECONDS);
    }
    const zones = zonesHeard(all);
    const zoneHosts = (zones.get(self.zone)?.hosts ?? 0) + 1;
    const ownTimeout = FAILURE_TIMEOUT_MILLISECONDS + Math.ceil(Math.log2(zoneHosts)) * SPREAD_ROUND_MILLISECONDS;
    return hosts.filter(host => {
        const zone = zones.get(host.identity.zone);
        if (zone === undefined || host.identity.zone === self.zone) {
            return silence(host) > ownTimeout;
        }
        const zoneSilence = nowMilliseconds - zone.lastMilliseconds;
        const wholeZone = zone.hosts >= WHOLE_ZONE_HOSTS && zoneSilence > WHOLE_ZONE_TIMEOUT_MILLISECONDS;
        return wholeZone || silence(host) > OTHER_ZONE_TIMEOUT_MILLISECONDS;
    });
}
