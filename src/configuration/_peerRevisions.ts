/**
 * Records the revision of each peer and chooses a peer to fetch a newer one from.
 *
 * @module
 */
import { type RandomSource } from "../decision/index.js";

const FETCH_TIMEOUT_MILLISECONDS = 2000;
const HEARTBEAT_EXPIRY_MILLISECONDS = 10_000;

interface PeerRevision {
    revision: number;
    lastHeartbeatAtMilliseconds: number;
    fetchFailed: boolean;
}

/** Revisions by peer, and the fetch in progress, of which there is at most one. */
export class PeerRevisions {
    readonly #random: RandomSource;
    readonly #peers = new Map<string, PeerRevision>();
    #fetch: { readonly host: string; readonly untilMilliseconds: number; } | undefined;

    constructor(random: RandomSource) {
        this.#random = random;
    }

    /** Records the revision in a peer's heartbeat. */
    recordRevision(host: string, revision: number, nowMilliseconds: number): void {
        this.#peers.set(host, { revision, lastHeartbeatAtMilliseconds: nowMilliseconds, fetchFailed: false });
    }

    /** Records that a peer answered a fetch. */
    recordFetchEnd(host: string): void {
        if (this.#fetch?.host === host) {
            this.#fetch = undefined;
        }
    }

    /** Records that a peer did not answer a fetch; the peer is skipped until its next heartbeat. */
    recordFetchFailure(host: string): void {
        this.recordFetchEnd(host);
        const peer = this.#peers.get(host);
        if (peer !== undefined) {
            peer.fetchFailed = true;
        }
    }

    /** Returns the number of peers whose latest heartbeat is at most this old. */
    countWithRecentHeartbeat(maximumAgeMilliseconds: number, nowMilliseconds: number): number {
        return [...this.#peers.values()].filter(peer =>
            nowMilliseconds - peer.lastHeartbeatAtMilliseconds <= maximumAgeMilliseconds
        )
            .length;
    }

    /**
     * Chooses a random peer with the highest usable revision and records the fetch from it as in progress. Returns
     * `undefined` where no peer has a newer revision or a fetch is in progress.
     *
     * @param revision Revision in force on this host.
     * @param rejected Revisions that were rejected as invalid.
     * @param nowMilliseconds The current time.
     */
    chooseSource(revision: number, rejected: ReadonlySet<number>, nowMilliseconds: number): string | undefined {
        if (this.#fetch !== undefined && nowMilliseconds < this.#fetch.untilMilliseconds) {
            return undefined;
        }
        this.#removeExpired(nowMilliseconds);
        const candidates = [...this.#peers].filter(([, peer]) =>
            peer.revision > revision && !peer.fetchFailed && !rejected.has(peer.revision)
        );
        const highest = Math.max(...candidates.map(([, peer]) => peer.revision));
        const hosts = candidates.filter(([, peer]) => peer.revision === highest).map(([host]) => host).sort();
        const host = hosts[Math.floor(this.#random() * hosts.length)];
        this.#fetch = host === undefined
            ? undefined
            : { host, untilMilliseconds: nowMilliseconds + FETCH_TIMEOUT_MILLISECONDS };
        return host;
    }

    #removeExpired(nowMilliseconds: number): void {
        for (const [host, peer] of this.#peers) {
            if (nowMilliseconds - peer.lastHeartbeatAtMilliseconds > HEARTBEAT_EXPIRY_MILLISECONDS) {
                this.#peers.delete(host);
            }
        }
    }
}
