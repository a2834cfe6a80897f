/**
 * The other hosts: where they are, and whether they were heard lately.
 *
 * @module
 */
import { type HostAddresses, type HostDigest, type HostRegistration } from "../generated/gossip.js";
import { divideIntoCells, type PlacedHost } from "./cells.js";

/** A host that was not heard for this long is not given to callers. */
const HEARD_MILLISECONDS = 1_600;

/** A host that has registered may not have been heard yet for this long. */
const NEW_MILLISECONDS = 1_600;

/** A host of another cell is given to callers for this long after the sum of its cell has named it. */
const NAMED_MILLISECONDS = 2_400;

/** A host without a record that was not heard for this long is forgotten. */
const FORGOTTEN_MILLISECONDS = 30_000;

/** What is known of a peer. */
export interface Peer {
    readonly host: string;
    readonly zone: string;
    readonly addresses: HostAddresses;
    readonly ready: boolean;
    readonly leaving: boolean;
    readonly configurationVersion: number;
    readonly registered: boolean;
    readonly registeredAtMilliseconds: number;
    /** When its record was written or removed last. */
    readonly recordSeenAtMilliseconds: number;
    /** `undefined` where it was never heard. */
    readonly lastDigestAtMilliseconds: number | undefined;
    /** When the sum of its cell named it last; `undefined` where none did. */
    readonly lastListedAtMilliseconds: number | undefined;
}

/** The fleet as a host sees it: its own cell, and the others. */
export interface FleetDivision {
    /** Members in order, this host included. */
    readonly own: readonly PlacedHost[];
    readonly others: readonly (readonly PlacedHost[])[];
}

/** A host to give to callers. */
export interface AdvertisedHost {
    readonly host: string;
    readonly zone: string;
    readonly address: string;
}

/**
 * Joins hosts' records in the key-value service with the digests that come from them.
 *
 * @example
 * ```ts
 * const peers = new PeerTable("entry-1", "zone-a");
 * peers.register(record, now);
 * peers.hear(digest, now);
 * const advertised = peers.advertised(now);
 * ```
 */
export class PeerTable {
    readonly #host: string;
    readonly #zone: string;
    readonly #peers = new Map<string, Peer>();
    #division: FleetDivision | undefined;

    constructor(host: string, zone: string) {
        this.#host = host;
        this.#zone = zone;
    }

    register(record: HostRegistration, nowMilliseconds: number): void {
        if (record.host === this.#host) {
            return;
        }
        const known = this.#peers.get(record.host);
        const moved = known !== undefined && known.addresses.callers !== record.addresses.callers;
        this.#keep({
            host: record.host,
            zone: record.zone,
            addresses: record.addresses,
            ready: known?.ready ?? true,
            leaving: false,
            configurationVersion: known?.configurationVersion ?? 0,
            registered: true,
            registeredAtMilliseconds: nowMilliseconds,
            recordSeenAtMilliseconds: nowMilliseconds,
            lastDigestAtMilliseconds: moved ? undefined : known?.lastDigestAtMilliseconds,
            lastListedAtMilliseconds: moved ? undefined : known?.lastListedAtMilliseconds,
        });
    }

    unregister(host: string, nowMilliseconds: number): void {
        const known = this.#peers.get(host);
        if (known !== undefined) {
            this.#keep({ ...known, registered: false, recordSeenAtMilliseconds: nowMilliseconds });
        }
    }

    recordDigest(digest: HostDigest, nowMilliseconds: number): void {
        if (digest.host === this.#host) {
            return;
        }
        const known = this.#peers.get(digest.host);
        this.#keep({
            host: digest.host,
            zone: digest.zone,
            addresses: digest.addresses,
            ready: digest.ready,
            leaving: digest.leaving,
            configurationVersion: digest.configurationVersion,
            registered: known?.registered ?? false,
            registeredAtMilliseconds: known?.registeredAtMilliseconds ?? nowMilliseconds,
            recordSeenAtMilliseconds: known?.recordSeenAtMilliseconds ?? nowMilliseconds,
            lastDigestAtMilliseconds: nowMilliseconds,
            lastListedAtMilliseconds: known?.lastListedAtMilliseconds,
        });
    }

    /** Takes the word of another cell that a host there was heard lately and takes callers. */
    recordListed(host: string, nowMilliseconds: number): void {
        const known = this.#peers.get(host);
        if (known !== undefined) {
            this.#peers.set(host, { ...known, ready: true, leaving: false, lastListedAtMilliseconds: nowMilliseconds });
        }
    }

    get(host: string): Peer | undefined {
        return this.#peers.get(host);
    }

    /** Gives all hosts that are known; those without a record are remembered for a while. */
    all(nowMilliseconds: number): Peer[] {
        this.forget(nowMilliseconds);
        return [...this.#peers.values()];
    }

    /** Forgets hosts without a record that were not heard for long; it looks at the whole fleet. */
    forget(nowMilliseconds: number): void {
        for (const [host, peer] of this.#peers) {
            const seenAt = Math.max(peer.lastDigestAtMilliseconds ?? 0, peer.recordSeenAtMilliseconds);
            if (!peer.registered && nowMilliseconds - seenAt > FORGOTTEN_MILLISECONDS) {
                this.#peers.delete(host);
                this.#division = undefined;
            }
        }
    }

    /** Gives the fleet in cells, which change only as hosts come and are forgotten. */
    division(): FleetDivision {
        this.#division ??= this.#divide([...this.#peers.values()]);
        return this.#division;
    }

    /** Gives the other hosts of this host's cell, to which it tells everything. */
    cellPeers(): Peer[] {
        return this.division().own.flatMap(({ host }) => this.#peers.get(host) ?? []);
    }

    /** Gives the hosts of this host's cell that are heard and do not leave, in order, this host included. */
    membersWithRecentDigest(nowMilliseconds: number): string[] {
        const heard = this.division().own.filter(({ host }) => {
            const peer = this.#peers.get(host);
            return peer === undefined || (hasRecentDigest(peer, nowMilliseconds) && !peer.leaving);
        });
        return heard.map(({ host }) => host);
    }

    /** Tells whether this host speaks for its cell: it is the first of those that are heard. */
    isCellRepresentative(nowMilliseconds: number): boolean {
        return this.membersWithRecentDigest(nowMilliseconds)[0] === this.#host;
    }

    #divide(peers: readonly PlacedHost[]): FleetDivision {
        const all = [...peers.map(({ host, zone }) => ({ host, zone })), { host: this.#host, zone: this.#zone }];
        const cells = divideIntoCells(all);
        const isOwn = (cell: readonly PlacedHost[]): boolean => cell.some(({ host }) => host === this.#host);
        return { own: cells.find(isOwn) ?? [], others: cells.filter(cell => !isOwn(cell)) };
    }

    /** Keeps what is known of a peer; one that is new, or in another zone, moves the cells. */
    #keep(peer: Peer): void {
        const known = this.#peers.get(peer.host);
        if (known?.zone !== peer.zone) {
            this.#division = undefined;
        }
        this.#peers.set(peer.host, peer);
    }

    withRecentDigest(nowMilliseconds: number): Peer[] {
        return [...this.#peers.values()].filter(peer => hasRecentDigest(peer, nowMilliseconds));
    }

    /** Gives the hosts that live, as far as this host hears or is told. */
    live(nowMilliseconds: number): Peer[] {
        return [...this.#peers.values()].filter(peer => isLive(peer, nowMilliseconds));
    }

    /** Tells whether a host lives and does not leave, as far as this host hears or is told. */
    isLiveAndNotLeaving(host: string, nowMilliseconds: number): boolean {
        const peer = this.#peers.get(host);
        return peer !== undefined && isLive(peer, nowMilliseconds) && !peer.leaving;
    }

    /**
     * Gives the hosts of this host's cell that may give orders to engines: those that have a record, and those that are
     * heard without one. A host that leaves gives none.
     */
    possibleHolders(nowMilliseconds: number): Peer[] {
        return this.cellPeers().filter(peer =>
            !peer.leaving && (peer.registered || hasRecentDigest(peer, nowMilliseconds))
        );
    }

    /**
     * Gives the hosts that callers may be sent to, without this one. A host that hears nobody may itself be cut off, and
     * goes by the records alone.
     */
    advertised(nowMilliseconds: number): AdvertisedHost[] {
        const open = [...this.#peers.values()].filter(({ ready, leaving }) => ready && !leaving);
        const heard = open.filter(peer => isLive(peer, nowMilliseconds));
        const fresh = open.filter(peer =>
            peer.registered && peer.lastDigestAtMilliseconds === undefined
            && peer.lastListedAtMilliseconds === undefined
            && nowMilliseconds - peer.registeredAtMilliseconds < NEW_MILLISECONDS
        );
        const known = heard.length > 0 ? [...heard, ...fresh] : open.filter(({ registered }) => registered);
        return known.map(({ host, zone, addresses }) => ({ host, zone, address: addresses.callers }));
    }

    /** Gives the peer with the newest configuration above a version, among those heard. */
    withNewerConfiguration(version: number, nowMilliseconds: number): Peer | undefined {
        const newer = this.withRecentDigest(nowMilliseconds).filter(peer => peer.configurationVersion > version);
        newer.sort((left, right) => right.configurationVersion - left.configurationVersion);
        return newer[0];
    }
}

/** Tells whether a peer was heard lately. */
export function hasRecentDigest(peer: Peer, nowMilliseconds: number): boolean {
    return peer.lastDigestAtMilliseconds !== undefined
        && nowMilliseconds - peer.lastDigestAtMilliseconds < HEARD_MILLISECONDS;
}

/** Tells whether a peer was heard lately, or named by the sum of its cell. */
function isLive(peer: Peer, nowMilliseconds: number): boolean {
    return hasRecentDigest(peer, nowMilliseconds) || isNamed(peer, nowMilliseconds);
}

function isNamed({ lastListedAtMilliseconds: namedAtMilliseconds }: Peer, nowMilliseconds: number): boolean {
    return namedAtMilliseconds !== undefined && nowMilliseconds - namedAtMilliseconds < NAMED_MILLISECONDS;
}
