/**
 * What one host tells the others, and to whom.
 *
 * @module
 */
import { type AdapterUseNotice, type EngineMemory, type HostDigest } from "../generated/gossip.js";
import { type GossipLink, type GossipMessage, openGossipLink, type Peer, type PeerTable } from "../gossip/index.js";
import { type EntryMetrics, type Logger } from "../observability/index.js";
import { isLargeFleet } from "./fleetPace.js";
import { type ListenAddress } from "./settings.js";

/** Options of a host's gossip. */
export interface HostGossipOptions {
    readonly host: string;
    readonly zone: string;
    readonly peers: PeerTable;
    readonly logger: Logger;
    readonly metrics: EntryMetrics;
    readonly readClock: () => number;
    readonly onMessage: (message: GossipMessage) => void;
}

/** The word that a host uses an adapter, or ceases to. */
export type AdapterUseWord = Omit<AdapterUseNotice, "type">;

/** Sends datagrams to the peers that a piece of news concerns; none is waited for, and any may be lost. */
export class HostGossip {
    readonly #options: HostGossipOptions;
    #link: GossipLink | undefined;

    constructor(options: HostGossipOptions) {
        this.#options = options;
    }

    /**
     * Opens the host's own address.
     *
     * @throws Rejects where the address cannot be used.
     */
    async open(address: ListenAddress): Promise<void> {
        const { logger, metrics, onMessage } = this.#options;
        this.#link = await openGossipLink({
            ...address,
            onMessage: message => {
                metrics.count("gossip_datagrams", { direction: "received" });
                onMessage(message);
            },
            onProblem: problem => logger.debug("gossip problem", { problem }),
        });
    }

    close(): void {
        this.#link?.close();
    }

    tellDigest(digest: HostDigest): void {
        this.#send(digest, this.#all());
    }

    /** Tells everybody what an engine holds. */
    tellNews(engine: EngineMemory): void {
        this.#send({ type: "news", host: this.#options.host, engine }, this.#all());
    }

    /** Tells of a request that was sent; in a large fleet only the own zone, so that the cost does not grow with it. */
    tellSent(engine: string, promptTokens: number): void {
        const { host, peers, readClock, zone } = this.#options;
        const heard = peers.heard(readClock());
        const told = isLargeFleet(heard.length + 1) ? heard.filter(peer => peer.zone === zone) : heard;
        this.#send({ type: "sent", host, engine, promptTokens }, told);
    }

    /** Asks an engine's holder for an adapter; false where the holder is not known. */
    wishAdapter(holder: string, wish: { engine: string; model: string; adapter: string; }): boolean {
        const peer = this.#options.peers.get(holder);
        if (peer === undefined) {
            return false;
        }
        this.#send({ type: "wish", host: this.#options.host, ...wish }, [peer]);
        return true;
    }

    /** Tells an engine's holder that an adapter is in use, or no longer. */
    tellAdapterUse(holder: string, use: AdapterUseWord): void {
        const peer = this.#options.peers.get(holder);
        if (peer !== undefined) {
            this.#send({ type: "use", ...use }, [peer]);
        }
    }

    #all(): readonly Peer[] {
        return this.#options.peers.all(this.#options.readClock());
    }

    #send(message: GossipMessage, peers: readonly Peer[]): void {
        this.#options.metrics.count("gossip_datagrams", { direction: "sent" });
        this.#link?.send(message, peers.map(({ addresses }) => addresses.gossip));
    }
}
