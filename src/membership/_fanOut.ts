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

/** Silence after which members count as lost. */
export interface FailureTimeouts {
    readonly ownZoneMilliseconds: number;
    readonly otherZonesMilliseconds: number;
}

/**
 * Gives the silence after which a member counts as lost.
 *
 * @param self This host.
 * @param peers Live peers.
 */
export function failureTimeouts(self: HostIdentity, peers: readonly HostIdentity[]): FailureTimeouts {
    if (peers.length < FULL_MESH_HOSTS) {
        return {
            ownZoneMilliseconds: FAILURE_TIMEOUT_MILLISECONDS,
            otherZonesMilliseconds: FAILURE_TIMEOUT_MILLISECONDS,
        };
    }
    const zoneHosts = peers.filter(peer => peer.zone === self.zone).length + 1;
    const spreading = Math.ceil(Math.log2(zoneHosts)) * SPREAD_ROUND_MILLISECONDS;
    return {
        ownZoneMilliseconds: FAILURE_TIMEOUT_MILLISECONDS + spreading,
        otherZonesMilliseconds: OTHER_ZONE_TIMEOUT_MILLISECONDS,
    };
}
