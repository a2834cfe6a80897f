/**
 * The engines as one host manages them: wires the holders' agreement, orders, the planner, adapters and memories.
 *
 * @module
 */
import { type EngineDuties, type Succession } from "../../duties/index.js";
import { type UpstreamAnnouncement } from "../../fleet/index.js";
import { type PlannedMove } from "../../generated/gossip.js";
import { type PeerTable } from "../../gossip/index.js";
import { type PlacementMove, type StoreLoadBound, type VersionCopyNeed } from "../../placement/index.js";
import { type HostContext } from "../hostContext.js";
import { type SiteDemand } from "../siteDemand.js";
import { type HostStore } from "../store/index.js";
import { type UpstreamTracker } from "../upstreamTracker.js";
import { VersionCopyRequests } from "./_versionCopyRequests.js";
import { AdapterExchange } from "./adapterExchange.js";
import { type EngineGossip } from "./engineGossip.js";
import { EngineMemories } from "./engineMemories.js";
import { EngineOrders } from "./engineOrders.js";
import { FleetPlanner } from "./fleetPlanner.js";
import { OutageAgreement } from "./outageAgreement.js";
import { unavailableShare } from "./unavailableShare.js";

/** Options of {@linkcode HostEngines}. */
export interface HostEnginesOptions {
    readonly context: HostContext;
    readonly duties: EngineDuties;
    readonly store: HostStore;
    readonly peers: PeerTable;
    readonly gossip: EngineGossip;
    readonly upstreams: UpstreamTracker;
    readonly demand: SiteDemand;
    /** A change occurred that a waiting request may be waiting for. */
    readonly onChanged: () => void;
}

/** Manages the engines that this host holds, and plans for all where this host is the planner, until closed. */
export class HostEngines {
    readonly agreement: OutageAgreement;
    readonly orders: EngineOrders;
    readonly planner: FleetPlanner;
    readonly memories: EngineMemories;
    readonly adapters: AdapterExchange;
    readonly #options: HostEnginesOptions;
    readonly #versionCopyRequests = new VersionCopyRequests();

    constructor(options: HostEnginesOptions) {
        this.#options = options;
        const { context, duties, gossip, onChanged, peers, store, upstreams } = options;
        this.agreement = new OutageAgreement({
            ...context,
            duties,
            serviceAnswers: () => store.reachability.hasRecentAnswer(),
            cellHosts: () => peers.possibleHolders(context.readClock()).map(({ host }) => host),
            possibleTakers: () => peers.possibleTakers(context.readClock()).map(({ host }) => host),
            gossip,
        });
        this.planner = this.#createPlanner();
        this.orders = this.#createOrders();
        this.memories = new EngineMemories({
            ...context,
            gossip,
            upstreams,
            ownRecord: engine => this.orders.recordOf(engine),
            receivers: engine => this.#memoryReceivers(engine),
            onChanged,
        });
        this.adapters = new AdapterExchange({
            ...context,
            duties,
            gossip,
            peers,
            memories: this.memories,
            orders: this.orders,
        });
    }

    start(): void {
        this.orders.start();
    }

    close(): void {
        this.orders.close();
    }

    /** Asks the planner for a copy of a model at upstreams of a version. */
    requestVersionCopy(need: VersionCopyNeed): void {
        const { context, gossip } = this.#options;
        const { planner } = this.planner;
        if (planner === undefined || !this.#versionCopyRequests.isDue(need, context.readClock())) {
            return;
        }
        if (planner === context.host) {
            this.planner.recordVersionCopyNeeded(need);
        }
        else {
            gossip.requestVersionCopy(planner, need);
        }
    }

    /** Handles a move request; sends the engine's memory to the requester, whichever planner this host knows of. */
    receiveMoveRequest(move: PlannedMove): void {
        this.orders.handleMoveRequest(move, move.host);
        this.memories.sendTo(move.host, move.engine);
    }

    #createPlanner(): FleetPlanner {
        const { context, demand, duties, peers, store, upstreams } = this.#options;
        const { host, isLeaving, readClock } = context;
        return new FleetPlanner({
            ...context,
            duties,
            view: upstreams.view,
            residency: upstreams.residency,
            storeLoads: this.#storeLoads(),
            routeTable: () => store.configuration.table,
            isLive: other => other === host ? !isLeaving() : peers.isLiveAndNotLeaving(other, readClock()),
            hasDemand: () => demand.hasDemand(readClock()),
            demand: () => demand.total("demand", readClock()),
            adapterDemand: () => demand.total("adapterDemand", readClock()),
            prefillDemand: () => demand.total("readingDemand", readClock()),
            isUnreachable: engine => upstreams.isUnreachable(engine),
            ownRecord: engine => this.orders.recordOf(engine),
            unavailableShare: engine => this.#unavailableShare(engine),
            requestMove: (holder, move) => this.#requestMove(holder, move),
        });
    }

    #createOrders(): EngineOrders {
        const { context, duties, store, upstreams } = this.#options;
        return new EngineOrders({
            ...context,
            duties,
            view: upstreams.view,
            storeLoads: this.#storeLoads(),
            serviceAnswers: () => store.reachability.hasRecentAnswer(),
            hostsWithoutConsent: () => this.agreement.hostsWithoutConsent(),
            routeTable: () => store.configuration.table,
            isAdapterUsed: (engine, adapter) => this.adapters.isUsed(engine, adapter),
            plan: () => this.planner.tick(),
            notifyPreviousHolder: succession => this.#notifyPreviousHolder(succession),
            onLaterEntry: entry => store.applyLaterEntry(entry),
            onAnswer: (engine, head, sentAtMilliseconds) =>
                upstreams.recordAnswerHead(engine, head, sentAtMilliseconds),
            onRecordChanged: record => this.memories.publish(record),
        });
    }

    #storeLoads(): StoreLoadBound {
        const { storeLoadOverage, storeLoadWindowMilliseconds } = this.#options.context.settings().bounds;
        return { windowMilliseconds: storeLoadWindowMilliseconds, overage: storeLoadOverage };
    }

    #memoryReceivers(engine: string): readonly string[] {
        const { planner } = this.planner;
        const requesters = this.adapters.requestersOf(engine);
        return planner === undefined ? requesters : [...requesters, planner];
    }

    #unavailableShare({ id, slots }: UpstreamAnnouncement): number {
        const { demand, upstreams } = this.#options;
        return unavailableShare({
            slots,
            requestsPerSecond: upstreams.limits.inForce(id)?.requestsPerSecond,
            meanRunMilliseconds: demand.meanRunMilliseconds,
        });
    }

    #requestMove(holder: string, move: PlacementMove): void {
        const { context, gossip } = this.#options;
        if (holder === context.host) {
            this.orders.handleMoveRequest(move, holder);
        }
        else {
            gossip.requestMove(holder, { ...move, dropped: [...move.dropped] });
        }
    }

    #notifyPreviousHolder({ engine, holder, previousHost }: Succession): void {
        const { revision, ...record } = holder;
        this.#options.gossip.notifyPreviousHolder(previousHost, { engine, revision, holder: record });
    }
}
