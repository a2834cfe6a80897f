/**
 * The other hosts of the fleet: addresses, readiness and time of their last digest.
 *
 * @module
 */
import { type HostAddresses, type HostDigest, type HostRegistration } from "../generated/gossip.js";
import { divideIntoCells, type HostWithZone } from "./cells.js";

/** A digest is recent for this long; hosts without a recent one are not advertised to callers. */
const RECENT_DIGEST_MILLISECONDS = 1_600;

/** A newly registered host is advertised for this long before its first digest. */
const NEW_HOST_GRACE_MILLISECONDS = 1_600;

/** A host of another cell is advertised to callers for this long after its cell's aggregate has listed it. */
const RECENT_LISTING_MILLISECONDS = 2_400;

/** A host without a record is removed this long after its last digest or the removal of its record. */
const UNREGISTERED_RETENTION_MILLISECONDS = 30_000;

/** Stands for builds whose hosts do not tell theirs. */
const EARLIER_BUILD = "earlier";

/** What this host knows of a peer. */
export interface Peer {
    readonly host: string;
    readonly zone: string;
    readonly addresses: HostAddresses;
    readonly ready: boolean;
    readonly leaving: boolean;
    readonly configurationVersion: number;
    /** `undefined` where it has not told its build: one of an earlier one does not. */
    readonly build: string | undefined;
    readonly registered: boolean;
    readonly registeredAtMilliseconds: number;
    /** When its record was last written or removed. */
    readonly recordChangedAtMilliseconds: number;
    /** `undefined` where none was received, or none since it registered at another address. */
    readonly lastDigestAtMilliseconds: number | undefined;
}

/** The fleet divided into cells: this host's own, and the others. */
export interface FleetDivision {
    /** Members in cell order, this host included. */
    readonly ownCell: readonly HostWithZone[];
    readonly otherCells: readonly (readonly HostWithZone[])[];
}

/** A host that callers may connect to. */
export interface AdvertisedHost {
    readonly host: string;
    readonly zone: string;
    readonly address: string;
}

/**
 * Joins hosts' records in the key-value service with the digests received from them.
 *
 * @example
 * ```ts
 * const peers = new PeerTable("entry-1", "zone-a");
 * peers.register(record, now);
 * peers.recordDigest(digest, now);
 * const advertised = peers.advertised(now);
 * ```
 */
export class PeerTable {
    readonly #host: string;
    readonly #zone: string;
    readonly #listened: (nowMilliseconds: number) => number;
    readonly #peers = new Map<string, Peer>();
    /** When the aggregates of peers' cells last listed them as ready for callers; without those that none has listed. */
    readonly #listedAtMilliseconds = new Map<string, number>();
    #division: FleetDivision | undefined;

    /**
     * @param host This host.
     * @param zone Its availability zone.
     * @param options.listened Returns, for a reading of the steady clock, for how long this host could hear others. The
     *     ages of digests, listings and records are measured by it; by default it is the steady clock.
     */
    constructor(
        host: string,
        zone: string,
        { listened = now => now }: { readonly listened?: (nowMilliseconds: number) => number; } = {},
    ) {
        this.#host = host;
        this.#zone = zone;
        this.#listened = listened;
    }

    /** Records a host's registration; at a new address, its earlier digests and listings no longer count. */
    register(record: HostRegistration, nowMilliseconds: number): void {
        if (record.host === this.#host) {
            return;
        }
        const known = this.#peers.get(record.host);
        const moved = known !== undefined && known.addresses.callers !== record.addresses.callers;
        if (moved) {
            this.#listedAtMilliseconds.delete(record.host);
        }
        this.#setPeer({
            host: record.host,
            zone: record.zone,
            addresses: record.addresses,
            ready: known?.ready ?? true,
            leaving: false,
            configurationVersion: known?.configurationVersion ?? 0,
            build: known?.build,
            registered: true,
            registeredAtMilliseconds: this.#listened(nowMilliseconds),
            recordChangedAtMilliseconds: this.#listened(nowMilliseconds),
            lastDigestAtMilliseconds: moved ? undefined : known?.lastDigestAtMilliseconds,
        });
    }

    /** Records that a host's registration was removed; the host itself may still be running. */
    unregister(host: string, nowMilliseconds: number): void {
        const known = this.#peers.get(host);
        if (known !== undefined) {
            this.#setPeer({
                ...known,
                registered: false,
                recordChangedAtMilliseconds: this.#listened(nowMilliseconds),
            });
        }
    }

    /** Records a peer's digest. */
    recordDigest(digest: HostDigest, nowMilliseconds: number): void {
        if (digest.host === this.#host) {
            return;
        }
        const known = this.#peers.get(digest.host);
        const listenedMilliseconds = this.#listened(nowMilliseconds);
        this.#setPeer({
            host: digest.host,
            zone: digest.zone,
            addresses: digest.addresses,
            ready: digest.ready,
            leaving: digest.leaving,
            configurationVersion: digest.configurationVersion,
            build: digest.build,
            registered: known?.registered ?? false,
            registeredAtMilliseconds: known?.registeredAtMilliseconds ?? listenedMilliseconds,
            recordChangedAtMilliseconds: known?.recordChangedAtMilliseconds ?? listenedMilliseconds,
            lastDigestAtMilliseconds: listenedMilliseconds,
        });
    }

    /** Records that another cell's aggregate lists a host as ready for callers. */
    recordListed(host: string, nowMilliseconds: number): void {
        const known = this.#peers.get(host);
        if (known === undefined) {
            return;
        }
        this.#listedAtMilliseconds.set(host, this.#listened(nowMilliseconds));
        if (!known.ready || known.leaving) {
            this.#peers.set(host, { ...known, ready: true, leaving: false });
        }
    }

    /** Records that another cell's aggregate lists a host as one that reaches no upstream. */
    recordPartitioned(host: string): void {
        const known = this.#peers.get(host);
        if (known !== undefined) {
            this.#peers.set(host, { ...known, ready: false });
            this.#listedAtMilliseconds.delete(host);
        }
    }

    get(host: string): Peer | undefined {
        return this.#peers.get(host);
    }

    /** Returns the name of the host with a gossip address; `undefined` where none is known. */
    findHostAt(gossipAddress: string): string | undefined {
        return [...this.#peers.values()].find(({ addresses }) => addresses.gossip === gossipAddress)?.host;
    }

    /** Returns all known hosts. Those without a record are kept for a while: the service may have been unavailable. */
    all(nowMilliseconds: number): Peer[] {
        this.forget(nowMilliseconds);
        return [...this.#peers.values()];
    }

    /** Removes hosts without a record that sent no digest for long. Iterates over the whole fleet. */
    forget(nowMilliseconds: number): void {
        const listenedMilliseconds = this.#listened(nowMilliseconds);
        for (const [host, peer] of this.#peers) {
            const seenAt = Math.max(peer.lastDigestAtMilliseconds ?? 0, peer.recordChangedAtMilliseconds);
            if (!peer.registered && listenedMilliseconds - seenAt > UNREGISTERED_RETENTION_MILLISECONDS) {
                this.#peers.delete(host);
                this.#listedAtMilliseconds.delete(host);
                this.#division = undefined;
            }
        }
    }

    /** Returns the fleet in cells, computed again only when a host is added, removed or changes its zone. */
    division(): FleetDivision {
        this.#division ??= this.#divideFleet([...this.#peers.values()]);
        return this.#division;
    }

    /** Returns the other hosts of this host's cell, which receive its full digests. */
    cellPeers(): Peer[] {
        return this.division().ownCell.flatMap(({ host }) => this.#peers.get(host) ?? []);
    }

    /** Returns this host and its cell peers that have a recent digest and are not leaving, in cell order. */
    membersWithRecentDigest(nowMilliseconds: number): string[] {
        const members = this.division().ownCell.filter(({ host }) => {
            const peer = this.#peers.get(host);
            return peer === undefined || (this.hasRecentDigest(peer, nowMilliseconds) && !peer.leaving);
        });
        return members.map(({ host }) => host);
    }

    /** Returns whether this host is the first responsive host of its cell, which sends the cell's aggregates. */
    isCellRepresentative(nowMilliseconds: number): boolean {
        return this.membersWithRecentDigest(nowMilliseconds)[0] === this.#host;
    }

    #divideFleet(peers: readonly HostWithZone[]): FleetDivision {
        const all = [...peers.map(({ host, zone }) => ({ host, zone })), { host: this.#host, zone: this.#zone }];
        const cells = divideIntoCells(all);
        const isOwn = (cell: readonly HostWithZone[]): boolean => cell.some(({ host }) => host === this.#host);
        return { ownCell: cells.find(isOwn) ?? [], otherCells: cells.filter(cell => !isOwn(cell)) };
    }

    /** Stores a peer; a new one, or one whose zone changed, invalidates the cells. */
    #setPeer(peer: Peer): void {
        const known = this.#peers.get(peer.host);
        if (known?.zone !== peer.zone) {
            this.#division = undefined;
        }
        this.#peers.set(peer.host, peer);
    }

    /** Returns the peers, of any cell, with a recent digest. */
    withRecentDigest(nowMilliseconds: number): Peer[] {
        return [...this.#peers.values()].filter(peer => this.hasRecentDigest(peer, nowMilliseconds));
    }

    /** Returns the number of peers with a recent digest by build; those of earlier builds do not tell theirs. */
    countBuilds(nowMilliseconds: number): Map<string, number> {
        const counts = new Map<string, number>();
        for (const { build = EARLIER_BUILD } of this.withRecentDigest(nowMilliseconds)) {
            counts.set(build, (counts.get(build) ?? 0) + 1);
        }
        return counts;
    }

    /** Returns the hosts that are live by their own digests or their cells' aggregates. */
    live(nowMilliseconds: number): Peer[] {
        return [...this.#peers.values()].filter(peer => this.#isLive(peer, nowMilliseconds));
    }

    /** Returns whether a host is live, by its own digests or its cell's aggregates, and not leaving. */
    isLiveAndNotLeaving(host: string, nowMilliseconds: number): boolean {
        const peer = this.#peers.get(host);
        return peer !== undefined && this.#isLive(peer, nowMilliseconds) && !peer.leaving;
    }

    /** Returns whether a peer sent a recent digest or was recently listed in its cell's aggregate. */
    #isLive(peer: Peer, nowMilliseconds: number): boolean {
        const listedAt = this.#listedAtMilliseconds.get(peer.host) ?? Number.NEGATIVE_INFINITY;
        return this.hasRecentDigest(peer, nowMilliseconds)
            || this.#listened(nowMilliseconds) - listedAt < RECENT_LISTING_MILLISECONDS;
    }

    /**
     * Returns the other hosts of this host's cell that may hold engines and send them orders: those with a record or a
     * recent digest. A leaving host sends no orders.
     */
    possibleHolders(nowMilliseconds: number): Peer[] {
        return this.cellPeers().filter(peer =>
            !peer.leaving && (peer.registered || this.hasRecentDigest(peer, nowMilliseconds))
        );
    }

    /**
     * Returns the other hosts of the whole fleet that may take engines over: those with a record or lately heard of.
     * A leaving host takes none over.
     */
    possibleTakers(nowMilliseconds: number): Peer[] {
        return [...this.#peers.values()].filter(peer =>
            !peer.leaving && (peer.registered || this.#isLive(peer, nowMilliseconds))
        );
    }

    /**
     * Returns the other hosts that callers may connect to. A host that knows no live peer may itself be partitioned and
     * relies on the records alone.
     */
    advertised(nowMilliseconds: number): AdvertisedHost[] {
        const ready = [...this.#peers.values()].filter(({ ready, leaving }) => ready && !leaving);
        const live = ready.filter(peer => this.#isLive(peer, nowMilliseconds));
        const newlyRegistered = ready.filter(peer =>
            peer.registered && peer.lastDigestAtMilliseconds === undefined
            && !this.#listedAtMilliseconds.has(peer.host)
            && this.#listened(nowMilliseconds) - peer.registeredAtMilliseconds < NEW_HOST_GRACE_MILLISECONDS
        );
        const advertised = live.length > 0
            ? [...live, ...newlyRegistered]
            : ready.filter(({ registered }) => registered);
        return advertised.map(({ host, zone, addresses }) => ({ host, zone, address: addresses.callers }));
    }

    /** Returns the peer with a recent digest whose configuration is the newest above a version. */
    withNewerConfiguration(version: number, nowMilliseconds: number): Peer | undefined {
        const newer = this.withRecentDigest(nowMilliseconds).filter(peer => peer.configurationVersion > version);
        newer.sort((left, right) => right.configurationVersion - left.configurationVersion);
        return newer[0];
    }

    /** Returns whether a peer's last digest is recent. */
    hasRecentDigest({ lastDigestAtMilliseconds }: Peer, nowMilliseconds: number): boolean {
        return lastDigestAtMilliseconds !== undefined
            && this.#listened(nowMilliseconds) - lastDigestAtMilliseconds < RECENT_DIGEST_MILLISECONDS;
    }
}
