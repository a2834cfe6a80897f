/**
 * The other hosts: where they are, and whether they were heard lately.
 *
 * @module
 */
import { type HostAddresses, type HostDigest, type HostRegistration } from "../generated/gossip.js";

/** A host that was not heard for this long is not given to callers. */
const HEARD_MILLISECONDS = 1_600;

/** A host that has registered may not have been heard yet for this long. */
const NEW_MILLISECONDS = 1_600;

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
    /** `undefined` where it was never heard. */
    readonly heardAtMilliseconds: number | undefined;
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
 * const peers = new PeerTable("entry-1");
 * peers.register(record, now);
 * peers.hear(digest, now);
 * const advertised = peers.advertised(now);
 * ```
 */
export class PeerTable {
    readonly #host: string;
    readonly #peers = new Map<string, Peer>();

    constructor(host: string) {
        this.#host = host;
    }

    register(record: HostRegistration, nowMilliseconds: number): void {
        if (record.host === this.#host) {
            return;
        }
        const known = this.#peers.get(record.host);
        const moved = known !== undefined && known.addresses.callers !== record.addresses.callers;
        this.#peers.set(record.host, {
            host: record.host,
            zone: record.zone,
            addresses: record.addresses,
            ready: known?.ready ?? true,
            leaving: false,
            configurationVersion: known?.configurationVersion ?? 0,
            registered: true,
            registeredAtMilliseconds: nowMilliseconds,
            heardAtMilliseconds: moved ? undefined : known?.heardAtMilliseconds,
        });
    }

    unregister(host: string): void {
        const known = this.#peers.get(host);
        if (known !== undefined) {
            this.#peers.set(host, { ...known, registered: false });
        }
    }

    hear(digest: HostDigest, nowMilliseconds: number): void {
        if (digest.host === this.#host) {
            return;
        }
        const known = this.#peers.get(digest.host);
        this.#peers.set(digest.host, {
            host: digest.host,
            zone: digest.zone,
            addresses: digest.addresses,
            ready: digest.ready,
            leaving: digest.leaving,
            configurationVersion: digest.configurationVersion,
            registered: known?.registered ?? false,
            registeredAtMilliseconds: known?.registeredAtMilliseconds ?? nowMilliseconds,
            heardAtMilliseconds: nowMilliseconds,
        });
    }

    get(host: string): Peer | undefined {
        return this.#peers.get(host);
    }

    /** Gives the hosts to send digests to. */
    all(nowMilliseconds: number): Peer[] {
        for (const [host, peer] of this.#peers) {
            const heardAt = peer.heardAtMilliseconds ?? peer.registeredAtMilliseconds;
            if (!peer.registered && nowMilliseconds - heardAt > FORGOTTEN_MILLISECONDS) {
                this.#peers.delete(host);
            }
        }
        return [...this.#peers.values()];
    }

    heard(nowMilliseconds: number): Peer[] {
        return [...this.#peers.values()].filter(peer => isHeard(peer, nowMilliseconds));
    }

    /**
     * Gives the hosts that may give orders to engines: those that have a record, and those that are heard without one. A
     * host that leaves gives none.
     */
    active(nowMilliseconds: number): Peer[] {
        return [...this.#peers.values()].filter(peer =>
            !peer.leaving && (peer.registered || isHeard(peer, nowMilliseconds))
        );
    }

    /**
     * Gives the hosts that callers may be sent to, without this one. A host that hears nobody may itself be cut off, and
     * goes by the records alone.
     */
    advertised(nowMilliseconds: number): AdvertisedHost[] {
        const open = [...this.#peers.values()].filter(({ ready, leaving }) => ready && !leaving);
        const heard = open.filter(peer => isHeard(peer, nowMilliseconds));
        const fresh = open.filter(peer =>
            peer.registered && peer.heardAtMilliseconds === undefined
            && nowMilliseconds - peer.registeredAtMilliseconds < NEW_MILLISECONDS
        );
        const known = heard.length > 0 ? [...heard, ...fresh] : open.filter(({ registered }) => registered);
        return known.map(({ host, zone, addresses }) => ({ host, zone, address: addresses.callers }));
    }

    /** Gives the peer with the newest configuration above a version, among those heard. */
    withNewerConfiguration(version: number, nowMilliseconds: number): Peer | undefined {
        const newer = this.heard(nowMilliseconds).filter(peer => peer.configurationVersion > version);
        newer.sort((left, right) => right.configurationVersion - left.configurationVersion);
        return newer[0];
    }
}

function isHeard(peer: Peer, nowMilliseconds: number): boolean {
    return peer.heardAtMilliseconds !== undefined && nowMilliseconds - peer.heardAtMilliseconds < HEARD_MILLISECONDS;
}
