/**
 * Which revision each peer has, and from which of them a newer one is fetched.
 *
 * @module
 */
import { type RandomSource } from "../decision/index.js";

const FETCH_TIMEOUT_MILLISECONDS = 2000;
const HEARD_MILLISECONDS = 10_000;

interface PeerRevision {
    revision: number;
    heardAtMilliseconds: number;
    failed: boolean;
}

/** Revisions by peer, and the one fetch that may be under way. */
export class PeerRevisions {
    readonly #random: RandomSource;
    readonly #peers = new Map<string, PeerRevision>();
    #fetch: { readonly host: string; readonly untilMilliseconds: number; } | undefined;

    constructor(random: RandomSource) {
        this.#random = random;
    }

    /** Notes what a peer's heartbeat told. */
    hear(host: string, revision: number, nowMilliseconds: number): void {
        this.#peers.set(host, { revision, heardAtMilliseconds: nowMilliseconds, failed: false });
    }

    /** Notes that a peer answered. */
    fetchEnded(host: string): void {
        if (this.#fetch?.host === host) {
            this.#fetch = undefined;
        }
    }

    /** Notes that a peer did not answer; it is asked again after its next heartbeat. */
    fetchFailed(host: string): void {
        this.fetchEnded(host);
        const peer = this.#peers.get(host);
        if (peer !== undefined) {
            peer.failed = true;
        }
    }

    /** Counts peers that were heard within a time. */
    heardWithin(milliseconds: number, nowMilliseconds: number): number {
        return [...this.#peers.values()].filter(peer => nowMilliseconds - peer.heardAtMilliseconds <= milliseconds)
            .length;
    }

    /**
     * Chooses a peer to fetch from, unless a fetch is under way or no peer has more.
     *
     * @param revision Revision in force here.
     * @param rejected Revisions that cannot be used.
     * @param nowMilliseconds The time of the choice.
     */
    chooseSource(revision: number, rejected: ReadonlySet<number>, nowMilliseconds: number): string | undefined {
        if (this.#fetch !== undefined && nowMilliseconds < this.#fetch.untilMilliseconds) {
            return undefined;
        }
        this.#forgetSilent(nowMilliseconds);
        const useful = [...this.#peers].filter(([, peer]) =>
            peer.revision > revision && !peer.failed && !rejected.has(peer.revision)
        );
        const highest = Math.max(...useful.map(([, peer]) => peer.revision));
        const hosts = useful.filter(([, peer]) => peer.revision === highest).map(([host]) => host).sort();
        const host = hosts[Math.floor(this.#random() * hosts.length)];
        this.#fetch = host === undefined
            ? undefined
            : { host, untilMilliseconds: nowMilliseconds + FETCH_TIMEOUT_MILLISECONDS };
        return host;
    }

    #forgetSilent(nowMilliseconds: number): void {
        for (const [host, peer] of this.#peers) {
            if (nowMilliseconds - peer.heardAtMilliseconds > HEARD_MILLISECONDS) {
                this.#peers.delete(host);
            }
        }
    }
}
