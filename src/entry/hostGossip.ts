/**
 * What one host tells the others, and to whom.
 *
 * @module
 */
import {
    type AdapterUseNotice,
    type EngineMemory,
    type FleetSummary,
    type HolderWord,
    type HostDigest,
    type PlannedMove,
    type StoreChanges,
} from "../generated/gossip.js";
import {
    type GossipLink,
    type GossipMessage,
    hasRecentDigest,
    openGossipLink,
    type Peer,
    type PeerTable,
} from "../gossip/index.js";
import { type EntryMetrics, type Logger, type TimeSpent } from "../observability/index.js";
import { type ListenAddress } from "./settings.js";

/** Options of a host's gossip. */
export interface HostGossipOptions {
    readonly host: string;
    readonly peers: PeerTable;
    readonly logger: Logger;
    readonly metrics: EntryMetrics;
    readonly timeSpent: TimeSpent;
    readonly readClock: () => number;
    /** Gives the hosts of the cell that have to know what callers ask of each model. */
    readonly needDemand: () => ReadonlySet<string>;
    readonly onMessage: (message: GossipMessage) => void;
}

/** Leaves out what only hosts that plan, or speak for a cell, have to know. */
function withoutDemand<Message extends HostDigest | FleetSummary>(message: Message): Message {
    return { ...message, demand: {}, adapterDemand: {}, readingDemand: {} };
}

/** The word that a host uses an adapter, or ceases to. */
export type AdapterUseReport = Omit<AdapterUseNotice, "type">;

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
        const { logger, metrics, onMessage, timeSpent } = this.#options;
        this.#link = await openGossipLink({
            ...address,
            onDatagram: take => timeSpent.measure("datagrams-read", take),
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

    publishDigest(digest: HostDigest): void {
        this.#sendByNeed(digest);
    }

    /** Tells the sum of the own cell to hosts of another one. */
    publishCellAggregate(summary: FleetSummary, hosts: readonly string[]): void {
        this.#send(summary, this.#named(hosts));
    }

    /** Tells the own cell the sum of all others. */
    publishOtherCellsAggregate(summary: FleetSummary): void {
        this.#sendByNeed(summary);
    }

    /** Asks an engine's holder to begin a move. */
    requestMove(holder: string, move: Omit<PlannedMove, "type" | "host">): void {
        this.#send({ type: "move", host: this.#options.host, ...move }, this.#named([holder]));
    }

    /** Tells what an engine holds: the own cell, and hosts that have to know. Others learn it from sums. */
    publishEngineMemory(engine: EngineMemory, hosts: readonly string[]): void {
        const told = new Set([...this.#cellMates(), ...this.#named(hosts)]);
        this.#send({ type: "news", host: this.#options.host, engine }, [...told]);
    }

    /** Tells one host that has asked what an engine holds. */
    sendEngineMemory(asker: string, engine: EngineMemory): void {
        this.#send({ type: "news", host: this.#options.host, engine }, this.#named([asker]));
    }

    /** Tells hosts of the own cell that send to the same engine of a request that was sent. */
    publishRequestSent(engine: string, promptTokens: number, usesEngine: (host: string) => boolean): void {
        const { host, readClock } = this.#options;
        const told = this.#cellMates().filter(peer => hasRecentDigest(peer, readClock()) && usesEngine(peer.host));
        this.#send({ type: "sent", host, engine, promptTokens }, told);
    }

    /** Passes changes in the key-value service on to the own cell. */
    passChanges(changes: Omit<StoreChanges, "type" | "host">): void {
        this.#send({ type: "changes", host: this.#options.host, ...changes }, this.#cellMates());
    }

    /** Tells the holder before that another one has followed it. */
    notifyPreviousHolder(before: string, word: Omit<HolderWord, "type">): void {
        this.#send({ type: "holder", ...word }, this.#named([before]));
    }

    /** Asks an engine's holder for an adapter; false where the holder is not known. */
    requestAdapter(holder: string, wish: { engine: string; model: string; adapter: string; }): boolean {
        const peer = this.#options.peers.get(holder);
        if (peer === undefined) {
            return false;
        }
        this.#send({ type: "wish", host: this.#options.host, ...wish }, [peer]);
        return true;
    }

    /** Tells an engine's holder that an adapter is in use, or no longer. */
    reportAdapterUse(holder: string, use: AdapterUseReport): void {
        const peer = this.#options.peers.get(holder);
        if (peer !== undefined) {
            this.#send({ type: "use", ...use }, [peer]);
        }
    }

    /** Tells the own cell, and demand only those of it that need it. */
    #sendByNeed(message: HostDigest | FleetSummary): void {
        const needDemand = this.#options.needDemand();
        const mates = this.#cellMates();
        this.#send(message, mates.filter(({ host }) => needDemand.has(host)));
        this.#send(withoutDemand(message), mates.filter(({ host }) => !needDemand.has(host)));
    }

    #cellMates(): readonly Peer[] {
        return this.#options.peers.cellPeers();
    }

    #named(hosts: readonly string[]): readonly Peer[] {
        return hosts.flatMap(host => this.#options.peers.get(host) ?? []);
    }

    #send(message: GossipMessage, peers: readonly Peer[]): void {
        if (peers.length === 0) {
            return;
        }
        this.#options.metrics.count("gossip_datagrams", { direction: "sent" });
        this.#options.timeSpent.measure(
            "datagrams-sent",
            () => this.#link?.send(message, peers.map(({ addresses }) => addresses.gossip)),
        );
    }
}
