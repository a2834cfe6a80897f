/**
 * Chooses the targets of heartbeats and detects failed hosts by timeout.
 *
 * Up to `FULL_MESH_HOSTS` hosts, every host sends heartbeats to all others. Beyond that, a host sends them to a few
 * random hosts of its zone, and a few relays of each zone send them to each other zone.
 *
 * @module
 */
import { type RandomSource } from "../decision/index.js";
import { type HostIdentity } from "../generated/peers.js";

/** Deployments of up to this many hosts exchange heartbeats between all pairs. */
export const FULL_MESH_HOSTS = 12;
/** Hosts of its own zone that a host sends each heartbeat to, beyond the full mesh. */
export const ZONE_FAN_OUT = 2;
/** Hosts of one zone that send its heartbeats to one other zone. */
export const RELAYS_PER_ZONE_PAIR = 2;

const FAILURE_TIMEOUT_MILLISECONDS = 3000;
/** Duration of one gossip round; a counter takes one more round to spread with each doubling of a zone's size. */
const GOSSIP_ROUND_MILLISECONDS = 1200;
const OTHER_ZONE_HOST_TIMEOUT_MILLISECONDS = 90_000;
const ZONE_FAILURE_TIMEOUT_MILLISECONDS = 20_000;
/** Smallest zone that counts as lost as a whole when none of its hosts makes progress. */
const MINIMUM_ZONE_FAILURE_HOSTS = 8;

/**
 * Returns up to `count` random items.
 *
 * @param items Candidates; not modified.
 * @param count Maximum number of items to return.
 * @param random Source of the choice.
 */
export function sample<Item>(items: readonly Item[], count: number, random: RandomSource): Item[] {
    const remaining = [...items];
    const sampled: Item[] = [];
    while (sampled.length < count && remaining.length > 0) {
        const [item] = remaining.splice(Math.floor(random() * remaining.length), 1);
        if (item !== undefined) {
            sampled.push(item);
        }
    }
    return sampled;
}

function otherZones(self: HostIdentity, peers: readonly HostIdentity[]): string[] {
    return [...new Set(peers.map(peer => peer.zone))].filter(zone => zone !== self.zone).sort();
}

/** Returns the zones that this host relays to: relay roles are assigned to the hosts of its zone in turn, by name. */
function relayedZones(self: HostIdentity, peers: readonly HostIdentity[]): string[] {
    const zoneHosts = [self, ...peers.filter(peer => peer.zone === self.zone)].map(peer => peer.host).sort();
    const position = zoneHosts.indexOf(self.host);
    return otherZones(self, peers).filter((_zone, zoneIndex) =>
        Array.from({ length: RELAYS_PER_ZONE_PAIR }, (_, relayIndex) => (zoneIndex * RELAYS_PER_ZONE_PAIR + relayIndex))
            .some(relayRole => relayRole % zoneHosts.length === position)
    );
}

/**
 * Chooses the live peers that get this heartbeat.
 *
 * @param self This host.
 * @param peers Live peers, in a defined order.
 * @param random Chooses among the peers of a zone.
 */
export function chooseHeartbeatTargets(
    self: HostIdentity,
    peers: readonly HostIdentity[],
    random: RandomSource,
): readonly HostIdentity[] {
    if (peers.length < FULL_MESH_HOSTS) {
        return peers;
    }
    const ownZoneTargets = sample(peers.filter(peer => peer.zone === self.zone), ZONE_FAN_OUT, random);
    const relayTargets = relayedZones(self, peers).flatMap(zone =>
        sample(peers.filter(peer => peer.zone === zone), 1, random)
    );
    return [...ownZoneTargets, ...relayTargets];
}

/** State of a host that the failure detector reads. */
export interface MonitoredHost {
    readonly identity: HostIdentity;
    readonly progressedAtMilliseconds: number;
    readonly lostAtMilliseconds: number | undefined;
}

/** Returns the latest progress of any host in each zone, and the number of hosts there. */
function progressByZone(
    hosts: readonly MonitoredHost[],
): ReadonlyMap<string, { lastProgressAtMilliseconds: number; hostCount: number; }> {
    const zones = new Map<string, { lastProgressAtMilliseconds: number; hostCount: number; }>();
    for (const { identity, progressedAtMilliseconds } of hosts) {
        const zone = zones.get(identity.zone) ?? { lastProgressAtMilliseconds: -Infinity, hostCount: 0 };
        zone.lastProgressAtMilliseconds = Math.max(zone.lastProgressAtMilliseconds, progressedAtMilliseconds);
        zone.hostCount += 1;
        zones.set(identity.zone, zone);
    }
    return zones;
}

/**
 * Returns the hosts whose heartbeat counters did not rise within the failure timeout.
 *
 * A host of another zone is monitored by its own zone, which reports a loss. Here it counts as lost only after a longer
 * timeout, or when no host of its zone makes progress.
 *
 * @param self This host.
 * @param all All known hosts; those already lost still count towards the size of their zone.
 * @param nowMilliseconds The current time.
 */
export function findUnresponsive<Host extends MonitoredHost>(
    self: HostIdentity,
    all: readonly Host[],
    nowMilliseconds: number,
): Host[] {
    const hosts = all.filter(host => host.lostAtMilliseconds === undefined);
    const millisecondsSinceProgress = (host: MonitoredHost): number => nowMilliseconds - host.progressedAtMilliseconds;
    if (hosts.length < FULL_MESH_HOSTS) {
        return hosts.filter(host => millisecondsSinceProgress(host) > FAILURE_TIMEOUT_MILLISECONDS);
    }
    const zones = progressByZone(all);
    const ownZoneHostCount = (zones.get(self.zone)?.hostCount ?? 0) + 1;
    const ownZoneTimeoutMilliseconds = FAILURE_TIMEOUT_MILLISECONDS
        + Math.ceil(Math.log2(ownZoneHostCount)) * GOSSIP_ROUND_MILLISECONDS;
    return hosts.filter(host => {
        const zone = zones.get(host.identity.zone);
        if (zone === undefined || host.identity.zone === self.zone) {
            return millisecondsSinceProgress(host) > ownZoneTimeoutMilliseconds;
        }
        const zoneMillisecondsSinceProgress = nowMilliseconds - zone.lastProgressAtMilliseconds;
        const zoneFailed = zone.hostCount >= MINIMUM_ZONE_FAILURE_HOSTS
            && zoneMillisecondsSinceProgress > ZONE_FAILURE_TIMEOUT_MILLISECONDS;
        return zoneFailed || millisecondsSinceProgress(host) > OTHER_ZONE_HOST_TIMEOUT_MILLISECONDS;
    });
}
