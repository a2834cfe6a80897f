/**
 * Datagrams that a host sends to its peers, and their receivers.
 *
 * @module
 */
import {
    type ConsentAnswer,
    type ConsentQuestion,
    type EngineMemory,
    type FleetSummary,
    type HolderWord,
    type HostDigest,
    type PlannedMove,
    type StoreChanges,
    type StreamQuestion,
    type StreamsBegun,
} from "../../generated/gossip.js";
import {
    type GossipLink,
    type GossipMessage,
    type HandledDatagram,
    openGossipLink,
    type Peer,
    type PeerTable,
} from "../../gossip/index.js";
import { type MemoryBudget } from "../../memory/index.js";
import {
    type EntryMetrics,
    type LogFields,
    type Logger,
    ReceivedDatagrams,
    SentDatagrams,
    type TimeSpent,
} from "../../observability/index.js";
import { type VersionCopyNeed } from "../../placement/index.js";
import { type PermitMessage, type SlotMessage } from "../../rateLimits/index.js";
import { type AdapterRequest, type AdapterUseReport, type EngineGossip } from "../engines/index.js";
import { type ListenAddress } from "../settings.js";
import { GossipProblems } from "./_gossipProblems.js";
import { FedPeers } from "./fedPeers.js";

const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Messages that are published together, each in place of the one before. */
const DIGEST_TYPES = ["digest", "summary"] as const;

/** Options of a host's gossip. */
export interface HostGossipOptions {
    readonly host: string;
    readonly peers: PeerTable;
    readonly logger: Logger;
    readonly memory: MemoryBudget;
    readonly metrics: EntryMetrics;
    readonly timeSpent: TimeSpent;
    readonly readClock: () => number;
    /** Reads the processor time of the process, by which the cost of datagrams is measured, in microseconds. */
    readonly readProcessorMicroseconds: () => number;
    /** Returns the hosts of the cell that need the demand for each model. */
    readonly hostsNeedingDemand: () => ReadonlySet<string>;
    /** {@linkcode openGossipLink} by default. */
    readonly openLink?: typeof openGossipLink | undefined;
    readonly onMessage: (message: GossipMessage) => void;
}

/** Returns a message without demand, which only planners and cell representatives need. */
function withoutDemand<Message extends HostDigest | FleetSummary>(message: Message): Message {
    return { ...message, demand: {}, adapterDemand: {}, readingDemand: {} };
}

/** Sends datagrams to the peers that need them. Sends are not awaited, and any datagram may be lost. */
export class HostGossip implements EngineGossip {
    readonly #options: HostGossipOptions;
    readonly #received: ReceivedDatagrams;
    readonly #sent: SentDatagrams;
    readonly #fedPeers = new FedPeers();
    /** Messages that the metrics do not contain yet. */
    #receivedMessages = 0;
    #link: GossipLink | undefined;

    constructor(options: HostGossipOptions) {
        this.#options = options;
        const { metrics, peers } = options;
        this.#received = new ReceivedDatagrams({ metrics, nameSender: source => peers.findHostAt(source) });
        this.#sent = new SentDatagrams(metrics);
    }

    /**
     * Opens this host's gossip address.
     *
     * @param address The address.
     * @param bytesPerSecond Bytes a second that messages to peers take at most.
     * @throws Rejects where the address cannot be used.
     */
    async open(address: ListenAddress, bytesPerSecond: number): Promise<void> {
        const { memory, onMessage, openLink = openGossipLink, readProcessorMicroseconds } = this.#options;
        const problems = new GossipProblems(this.#options);
        this.#link = await openLink({
            ...address,
            bytesPerSecond,
            reservation: memory.begin("peers"),
            readCostClock: () => readProcessorMicroseconds() / MICROSECONDS_PER_MILLISECOND,
            onHandled: datagram => this.#recordHandled(datagram),
            onSent: message => this.#sent.record(message),
            onDropped: reason => this.#received.recordDropped(reason),
            onMessage: message => {
                this.#receivedMessages += 1;
                onMessage(message);
            },
            onProblem: problem => problems.record(problem),
        });
    }

    close(): void {
        this.#link?.close();
    }

    /** Adds the datagrams that were received since the last call to the metrics. */
    updateMetrics(): void {
        this.#received.updateMetrics();
        this.#sent.updateMetrics();
        this.#options.metrics.add("gossip_datagrams", { direction: "received" }, this.#receivedMessages);
        this.#receivedMessages = 0;
    }

    /** Returns log fields about the datagrams that were received and sent since the last call. */
    takeDatagramSummary(): LogFields {
        return { ...this.#received.takeSummary(), ...this.#sent.takeSummary() };
    }

    /** Time that digests and aggregates that wait take to leave at least; 0 where none waits. */
    get backlogMilliseconds(): number {
        return this.#link?.backlogMilliseconds(DIGEST_TYPES) ?? 0;
    }

    publishDigest(digest: HostDigest): void {
        if (digest.feeds) {
            this.#fedPeers.recordStatement(this.#cellPeers().map(({ host }) => host), this.#options.readClock());
        }
        this.#sendToCell(digest);
    }

    /** Publishes the aggregate of the own cell to hosts of other cells. */
    publishCellAggregate(aggregate: FleetSummary, hosts: readonly string[]): void {
        this.#send(aggregate, this.#peersNamed(hosts));
    }

    /** Publishes the aggregate of all other cells to the own cell. */
    publishOtherCellsAggregate(aggregate: FleetSummary): void {
        this.#sendToCell(aggregate);
    }

    /** Requests that an engine's holder begin a move. */
    requestMove(holder: string, move: Omit<PlannedMove, "type" | "host">): void {
        this.#send({ type: "move", host: this.#options.host, ...move }, this.#peersNamed([holder]));
    }

    /** Publishes an engine's memory to the own cell and to the given hosts; other hosts get it with aggregates. */
    publishEngineMemory(engine: EngineMemory, hosts: readonly string[]): void {
        const receivers = new Set([...this.#cellPeers(), ...this.#peersNamed(hosts)]);
        this.#send({ type: "news", host: this.#options.host, engine }, [...receivers]);
    }

    /** Sends an engine's memory to a host that requested an adapter or a move there. */
    sendEngineMemory(requester: string, engine: EngineMemory): void {
        this.#send({ type: "news", host: this.#options.host, engine }, this.#peersNamed([requester]));
    }

    /** Publishes a sent request to the hosts of the own cell that use the same engine. */
    publishRequestSent(engine: string, promptTokens: number, usesEngine: (host: string) => boolean): void {
        const { host, peers, readClock } = this.#options;
        const receivers = this.#cellPeers().filter(peer =>
            peers.hasRecentDigest(peer, readClock()) && usesEngine(peer.host)
        );
        this.#send({ type: "sent", host, engine, promptTokens }, receivers);
    }

    /** Forwards changes in the key-value service to the own cell, and to others that may still rely on this host. */
    forwardChanges(changes: Omit<StoreChanges, "type" | "host">): void {
        const relying = this.#peersNamed(this.#fedPeers.relying(this.#options.readClock()));
        const receivers = new Set([...this.#cellPeers(), ...relying]);
        this.#send({ type: "changes", host: this.#options.host, ...changes }, [...receivers]);
    }

    /** Notifies the previous holder of its successor. */
    notifyPreviousHolder(previousHolder: string, holder: Omit<HolderWord, "type">): void {
        this.#send({ type: "holder", ...holder }, this.#peersNamed([previousHolder]));
    }

    /** Asks hosts of other cells whether this host may go on as a holder while the key-value service does not answer. */
    askForConsent(hosts: readonly string[], question: Omit<ConsentQuestion, "type" | "host">): void {
        this.#send({ type: "consent-question", host: this.#options.host, ...question }, this.#peersNamed(hosts));
    }

    /** Answers a host that asked for consent. */
    answerConsentQuestion(asker: string, answer: Omit<ConsentAnswer, "type" | "host">): void {
        this.#send({ type: "consent-answer", host: this.#options.host, ...answer }, this.#peersNamed([asker]));
    }

    /** Requests an adapter from an engine's holder; false where the holder is not known. */
    requestAdapter(holder: string, request: AdapterRequest): boolean {
        const peer = this.#options.peers.get(holder);
        if (peer === undefined) {
            return false;
        }
        this.#send({ type: "wish", host: this.#options.host, ...request }, [peer]);
        return true;
    }

    /** Asks the planner for a copy of a model at upstreams of a version. */
    requestVersionCopy(planner: string, need: VersionCopyNeed): void {
        this.#send({ type: "version-copy", host: this.#options.host, ...need }, this.#peersNamed([planner]));
    }

    /** Sends a message about streams' versions to hosts that keep them, or that ask for one. */
    sendStreamMessage(hosts: readonly string[], message: StreamsBegun | StreamQuestion): void {
        this.#send(message, this.#peersNamed(hosts));
    }

    /** Sends a request for permits or slots to their issuer, or its answer to a host. */
    sendPermitMessage(host: string, message: PermitMessage | SlotMessage): void {
        this.#send(message, this.#peersNamed([host]));
    }

    /** Reports to an engine's holder that this host began or ended using an adapter. */
    reportAdapterUse(holder: string, use: AdapterUseReport): void {
        const peer = this.#options.peers.get(holder);
        if (peer !== undefined) {
            this.#send({ type: "use", ...use }, [peer]);
        }
    }

    #recordHandled(datagram: HandledDatagram): void {
        this.#options.timeSpent.add("datagrams-read", datagram.decodeMilliseconds + datagram.applyMilliseconds);
        this.#received.record(datagram);
    }

    /** Sends a message to the own cell, with demand only to the hosts that need it. */
    #sendToCell(message: HostDigest | FleetSummary): void {
        const withDemand = this.#options.hostsNeedingDemand();
        const cellPeers = this.#cellPeers();
        this.#send(message, cellPeers.filter(({ host }) => withDemand.has(host)));
        this.#send(withoutDemand(message), cellPeers.filter(({ host }) => !withDemand.has(host)));
    }

    #cellPeers(): readonly Peer[] {
        return this.#options.peers.cellPeers();
    }

    #peersNamed(hosts: readonly string[]): readonly Peer[] {
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
