/**
 * One entry host: connects the key-value service, the forwarder, the managed engines and the gossip.
 *
 * @module
 */
import { type Agent } from "node:http";
import { EngineDuties } from "../duties/index.js";
import { SharedRetryBudget } from "../forwarding/index.js";
import { PeerTable } from "../gossip/index.js";
import { type LogFields } from "../observability/index.js";
import { AccountQuotas } from "../quotas/index.js";
import { type BindObstacle, retryWhileInUse } from "../transport/index.js";
import { toPublished, withoutJournal } from "./_gossipParts.js";
import { VERSIONS_KEY } from "./_versionRecordWriter.js";
import { ActQueue } from "./actQueue.js";
import { createForwardingContext, type ForwardingParts } from "./createForwardingContext.js";
import { HostEngines } from "./engines/index.js";
import { createForwarder, type Forwarder } from "./forwarder.js";
import { HealthProbes } from "./healthProbes.js";
import { addressesOf, createHostContext, type EntryHostOptions, type HostContext } from "./hostContext.js";
import { refreshGauges } from "./hostGauges.js";
import { type HostParts } from "./hostParts.js";
import { HostServers } from "./hostServers.js";
import { leaveFleet } from "./leaveFleet.js";
import { PacedWakes } from "./pacedWakes.js";
import { PartitionWatch } from "./partitionWatch.js";
import {
    DigestPublisher,
    DigestRounds,
    gossipBytesPerSecond,
    HostGossip,
    hostsNeedingDemand,
    InterCellGossip,
    type MessageReceivers,
    PacedDigests,
    receiveMessage,
    ReportedState,
    UrgentDigests,
} from "./peers/index.js";
import { RateLimiting } from "./rateLimiting.js";
import { type EntrySettings, type ListenAddress } from "./settings.js";
import { SiteDemand } from "./siteDemand.js";
import { HostStore } from "./store/index.js";
import { STREAM_KEY_PREFIX, StreamVersions } from "./streamVersions.js";
import { UpstreamAgents } from "./upstreamAgents.js";
import { UpstreamTracker } from "./upstreamTracker.js";

/** A holder may send orders for this long after a successful renewal of its session. */
const HOLDER_CONFIRMED_MILLISECONDS = 1_500;

/** A running entry host. */
export interface EntryHost {
    /** Leaves the fleet: ends advertising, serves requests that still arrive, lets all requests finish, then closes. */
    stop(): Promise<void>;
    /** Closes everything at once, without notifying peers or callers. */
    close(): Promise<void>;
    /** Applies changed settings while the host runs. */
    reload(settings: EntrySettings): void;
}

class RunningHost implements EntryHost {
    readonly #context: HostContext;
    readonly #acts: ActQueue;
    #settings: EntrySettings;
    readonly #upstreams: UpstreamTracker;
    readonly #rateLimiting: RateLimiting;
    readonly #quotas: AccountQuotas;
    #quotaHosts = { count: 1, hearsPeers: true };
    readonly #demand = new SiteDemand({ mayRun: model => this.#mayRun(model) });
    readonly #budget: SharedRetryBudget;
    readonly #peers: PeerTable;
    readonly #gossip: HostGossip;
    readonly #interCellGossip: InterCellGossip;
    readonly #duties: EngineDuties;
    readonly #store: HostStore;
    readonly #streamVersions: StreamVersions;
    readonly #partitionWatch: PartitionWatch;
    readonly #healthProbes: HealthProbes;
    readonly #engines: HostEngines;
    readonly #reportedState: ReportedState;
    readonly #receivers: MessageReceivers;
    readonly #digests: DigestPublisher;
    readonly #pacedDigests: PacedDigests;
    readonly #urgentDigests: UrgentDigests;
    readonly #digestRounds: DigestRounds;
    readonly #forwarder: Forwarder;
    readonly #wakes: PacedWakes;
    readonly #agents = new UpstreamAgents();
    readonly #servers: HostServers;
    readonly #closed = new AbortController();
    /** Resolves once the host has stopped; `undefined` before it is told to. */
    #stopped: Promise<void> | undefined;

    constructor(options: EntryHostOptions) {
        this.#settings = options.settings;
        this.#context = createHostContext(options, () => this.#settings);
        const { bounds, host, zone } = options.settings;
        const context = this.#context;
        this.#acts = new ActQueue({ ...context, confirmView: () => this.#store.readChanges() });
        this.#wakes = new PacedWakes({ ...context, wake: () => this.#forwarder.wake() });
        this.#budget = new SharedRetryBudget({
            windowMilliseconds: bounds.retryWindowMilliseconds,
            ratio: bounds.retryRatio,
            extra: bounds.retryExtra,
        });
        this.#peers = new PeerTable(host, zone, { listened: now => context.reads.listenedMilliseconds(now) });
        this.#gossip = new HostGossip({
            ...context,
            peers: this.#peers,
            hostsNeedingDemand: () => this.#hostsNeedingDemand(),
            onMessage: message => receiveMessage(message, this.#receivers, this.#now()),
        });
        this.#interCellGossip = new InterCellGossip({
            ...context,
            peers: this.#peers,
            gossip: this.#gossip,
            crashes: () => toPublished(this.#upstreams.crashes.aggregate(this.#now())),
            selectUse: use => this.#quotas.selectForMessage(use),
            onOtherCells: aggregate => this.#reportedState.applyOtherCells(aggregate),
        });
        this.#duties = new EngineDuties(host, {
            confirmedMilliseconds: HOLDER_CONFIRMED_MILLISECONDS,
            handoverMilliseconds: bounds.handoverMilliseconds,
        });
        this.#upstreams = this.#createUpstreams();
        this.#rateLimiting = this.#createRateLimiting();
        this.#quotas = this.#createQuotas();
        this.#store = this.#createStore();
        this.#streamVersions = this.#createStreamVersions();
        this.#partitionWatch = this.#createPartitionWatch();
        this.#healthProbes = this.#createHealthProbes();
        this.#engines = this.#createEngines();
        const parts = this.#parts();
        this.#reportedState = new ReportedState({ ...context, ...parts });
        this.#receivers = { ...parts, reportedState: this.#reportedState };
        this.#digests = new DigestPublisher({ ...parts, isReady: () => this.#isReady() });
        this.#pacedDigests = new PacedDigests({
            publish: () => this.#digests.publishToAllCells(),
            publishToOwnCell: () => this.#digests.publish(),
            backlogMilliseconds: () => this.#gossip.backlogMilliseconds,
        });
        this.#urgentDigests = this.#createUrgentDigests();
        this.#digestRounds = new DigestRounds({ ...context, peers: this.#peers, onRound: () => this.#performRound() });
        this.#forwarder = createForwarder(createForwardingContext(parts));
        this.#servers = this.#createServers();
    }

    async start(): Promise<void> {
        const { logger } = this.#context;
        const { gossip, linkBytesPerSecond, zone } = this.#settings;
        logger.info("starting", { zone, callers: addressesOf(this.#settings).callers });
        const bytesPerSecond = gossipBytesPerSecond(linkBytesPerSecond);
        await this.#bindWhenFree(gossip, () => this.#gossip.open(gossip, bytesPerSecond));
        await this.#servers.start();
        this.#acts.start();
        this.#store.start();
        this.#engines.start();
        this.#partitionWatch.start();
        this.#digestRounds.start();
        logger.info("started");
    }

    reload(settings: EntrySettings): void {
        this.#context.logger.info("settings reloaded");
        this.#settings = settings;
        this.#context.memory.setMachineBytes(settings.memoryBytes);
    }

    stop(): Promise<void> {
        this.#stopped ??= this.#context.lifecycle.isClosed ? Promise.resolve() : this.#leave();
        return this.#stopped;
    }

    #leave(): Promise<void> {
        return leaveFleet({
            context: this.#context,
            store: this.#store,
            orders: this.#engines.orders,
            forwarder: this.#forwarder,
            servers: this.#servers,
            publishDigest: () => this.#digests.publish(),
            backlogMilliseconds: () => this.#gossip.backlogMilliseconds,
            close: () => this.close(),
        });
    }

    async close(): Promise<void> {
        this.#context.lifecycle.close();
        this.#closed.abort();
        this.#acts.close();
        this.#digestRounds.close();
        this.#urgentDigests.close();
        this.#pacedDigests.close();
        this.#rateLimiting.close();
        this.#streamVersions.close();
        this.#partitionWatch.close();
        this.#healthProbes.close();
        this.#engines.close();
        this.#wakes.close();
        await this.#store.close();
        this.#gossip.close();
        this.#servers.close();
        this.#agents.close();
    }

    #now(): number {
        return this.#context.readClock();
    }

    /** Divides what all hosts share, retries and connections to upstreams, by the number of known hosts. */
    #shareAmongHosts(): void {
        const hostCount = this.#peers.all(this.#now()).length + 1;
        this.#budget.setHostCount(hostCount);
        this.#agents.setHostCount(hostCount);
        this.#countQuotaHosts();
    }

    #isReady(): boolean {
        return this.#store.isReadable && !this.#context.lifecycle.isLeaving && !this.#partitionWatch.isPartitioned;
    }

    #createUpstreams(): UpstreamTracker {
        const { protocol } = this.#context;
        return new UpstreamTracker({
            ...this.#context,
            headers: protocol.headers,
            decodeUpstream: (upstream, value) => protocol.decodeUpstream(upstream, value),
            onAnnounced: announcement => this.#engines.orders.applyAnnouncement(announcement),
            onJoined: () => this.#engines.planner.recordEnginesJoined(),
            onChanged: () => this.#handleUpstreamsChanged(),
            onCrashNews: () => this.#urgentDigests.scheduleCrashNews(),
            sendingHosts: () => this.#rateLimiting.sendingHosts(),
            slotLeases: () => this.#rateLimiting.leases,
            onLimitChanged: change => {
                this.#rateLimiting.handleLimitChange();
                this.#urgentDigests.publishLimitChange(change);
            },
        });
    }

    #createRateLimiting(): RateLimiting {
        return new RateLimiting({
            ...this.#context,
            limits: this.#upstreams.limits,
            peers: this.#peers,
            isPresent: upstream => this.#upstreams.isPresent(upstream),
            isLeased: upstream => this.#upstreams.needsLeasedSlot(upstream),
            slotsOf: upstream => this.#upstreams.view.get(upstream)?.slots ?? 0,
            inFlight: upstream => this.#upstreams.loads.inFlight(upstream),
            send: (host, message) => this.#gossip.sendPermitMessage(host, message),
            onLimitChanged: (change, receivedBy) => this.#upstreams.reportLimitChange(change, receivedBy),
            onAnswered: () => this.#forwarder.wake(),
        });
    }

    #createQuotas(): AccountQuotas {
        return new AccountQuotas({
            random: this.#context.random,
            hostCount: () => this.#quotaHosts.count,
            hearsPeers: () => this.#quotaHosts.hearsPeers,
            slackTokensPerSecond: this.#settings.bounds.quotaSlackTokensPerSecond,
        });
    }

    /**
     * Counts the hosts that may use quotas, once a round and when hosts change. A host that has said that it leaves is not
     * one of them; a silent one is until it is forgotten, since callers may still reach it.
     */
    #countQuotaHosts(): void {
        const now = this.#now();
        const staying = this.#peers.all(now).filter(({ leaving }) => !leaving);
        const hearsPeers = staying.length === 0 || this.#peers.live(now).length > 0;
        this.#quotaHosts = { count: staying.length + 1, hearsPeers };
    }

    #createStore(): HostStore {
        return new HostStore({
            context: this.#context,
            acts: this.#acts,
            duties: this.#duties,
            peers: this.#peers,
            view: this.#upstreams.view,
            handlers: [
                {
                    prefix: this.#context.protocol.keys.upstreamPrefix,
                    onPut: (upstream, entry) => this.#upstreams.applyRecord(upstream, entry),
                    onRemoved: upstream => this.#upstreams.remove(upstream),
                },
                {
                    prefix: STREAM_KEY_PREFIX,
                    onPut: (name, entry) => this.#streamVersions.applyEntry(name, entry),
                    onRemoved: name => this.#streamVersions.handleRemoved(name),
                },
            ],
            onConfiguration: table => {
                this.#servers.applyLimits(table.configuration.limits);
                this.#countQuotaHosts();
                this.#quotas.setAccounts(table.configuration.accounts ?? [], this.#now());
                this.#handleUpstreamsChanged();
                this.#forwarder.wakeAll();
            },
            onHostsChanged: () => this.#shareAmongHosts(),
            onSessionLost: () => this.#engines.orders.handleSessionLost(),
            onUnresponsive: () => this.#digests.publish(),
            onBatch: batch => this.#gossip.forwardChanges(withoutJournal(batch)),
            newerCellAddress: version => this.#interCellGossip.newerConfigurationAddress(version),
        });
    }

    #createStreamVersions(): StreamVersions {
        return new StreamVersions({
            ...this.#context,
            peers: this.#peers,
            view: this.#upstreams.view,
            resumable: () => this.#store.configuration.table?.resumableStreams,
            recordEntry: () => this.#store.entryOf(VERSIONS_KEY),
            onLaterEntry: entry => this.#store.applyLaterEntry(entry),
            send: (hosts, message) => this.#gossip.sendStreamMessage(hosts, message),
            onChanged: () => this.#forwarder.wakeAll(),
        });
    }

    #createPartitionWatch(): PartitionWatch {
        return new PartitionWatch({
            ...this.#context,
            acts: this.#acts,
            contact: this.#upstreams.contact,
            view: this.#upstreams.view,
            isServed: service => this.#store.configuration.table?.service(service) !== undefined,
            onChanged: () => {
                this.#pacedDigests.request();
                this.#forwarder.wakeAll();
            },
        });
    }

    #createHealthProbes(): HealthProbes {
        return new HealthProbes({
            ...this.#context,
            acts: this.#acts,
            agentFor: service => this.#agentFor(service),
            healthPathOf: service => this.#store.configuration.table?.service(service)?.healthPath,
            onAnswer: (upstream, head) => this.#upstreams.recordHealth(upstream, head),
        });
    }

    #agentFor(service: string): Agent {
        const { table } = this.#store.configuration;
        return this.#agents.agentFor(service, table?.service(service)?.maximumConnections);
    }

    #createEngines(): HostEngines {
        return new HostEngines({
            context: this.#context,
            duties: this.#duties,
            store: this.#store,
            peers: this.#peers,
            gossip: this.#gossip,
            upstreams: this.#upstreams,
            demand: this.#demand,
            onChanged: () => this.#wakes.request(),
        });
    }

    /** Returns the parts that digests, messages of peers and forwarded requests use. */
    #parts(): HostParts & ForwardingParts {
        return {
            context: this.#context,
            acts: this.#acts,
            budget: this.#budget,
            demand: this.#demand,
            peers: this.#peers,
            gossip: this.#gossip,
            interCellGossip: this.#interCellGossip,
            duties: this.#duties,
            upstreams: this.#upstreams,
            rateLimiting: this.#rateLimiting,
            quotas: this.#quotas,
            store: this.#store,
            streamVersions: this.#streamVersions,
            partitionWatch: this.#partitionWatch,
            probes: this.#healthProbes,
            engines: this.#engines,
            agentFor: service => this.#agentFor(service),
        };
    }

    #createUrgentDigests(): UrgentDigests {
        return new UrgentDigests({
            ...this.#context,
            crashes: this.#upstreams.crashes,
            publishesAggregates: () => this.#interCellGossip.publishesAggregates,
            publish: () => this.#pacedDigests.request(),
            backlogMilliseconds: () => this.#gossip.backlogMilliseconds,
        });
    }

    #handleUpstreamsChanged(): void {
        this.#streamVersions.check();
        this.#wakes.request();
    }

    /** Returns whether a model is configured, or some engine has held it. */
    #mayRun(model: string): boolean {
        return this.#store.configuration.table?.hasModel(model) === true
            || this.#upstreams.residency.changesOf(model) > 0;
    }

    #hostsNeedingDemand(): ReadonlySet<string> {
        const engineCount = this.#upstreams.view.all().length;
        return hostsNeedingDemand({ duties: this.#duties, peers: this.#peers, engineCount }, this.#now());
    }

    #createServers(): HostServers {
        return new HostServers({
            ...this.#context,
            acts: this.#acts,
            calls: this.#context.protocol.calls,
            handler: this.#forwarder,
            isReady: () => this.#isReady(),
            advertised: () => this.#peers.advertised(this.#now()),
            sharedState: () => this.#store.sharedState(),
            refreshGauges: () => this.#refreshGauges(),
            bindWhenFree: (address, bind) => this.#bindWhenFree(address, bind),
        });
    }

    /** Binds an address, once a predecessor that leaves there, or hangs until it is killed, has freed it. */
    #bindWhenFree<Bound>({ address, port }: ListenAddress, bind: () => Promise<Bound>): Promise<Bound> {
        return retryWhileInUse(bind, {
            signal: this.#closed.signal,
            onWaiting: (obstacle, waitedMilliseconds) =>
                this.#logWaiting(obstacle, { address: `${address}:${port}`, waitedMilliseconds }),
        });
    }

    #logWaiting(obstacle: BindObstacle, fields: LogFields): void {
        const { logger } = this.#context;
        if (obstacle === "in-use") {
            logger.warn("address in use", fields);
        }
        else {
            logger.warn("address not available", fields);
        }
    }

    /** Publishes a digest, and does what else is due at regular intervals. */
    #performRound(): void {
        this.#countQuotaHosts();
        this.#upstreams.expire();
        this.#streamVersions.check();
        this.#engines.adapters.recordOwnUses();
        this.#store.adjustWatch();
        this.#pacedDigests.requestRound();
        this.#engines.adapters.resendUses();
        this.#context.timeSpent.report(() => this.#gossip.takeDatagramSummary());
        this.#context.memoryWatch.check();
        this.#store.recordSettledRestores();
        this.#store.catchUp();
    }

    #refreshGauges(): void {
        this.#gossip.updateMetrics();
        refreshGauges({ ...this.#context, ...this.#parts(), servers: this.#servers });
    }
}

/**
 * Starts an entry host.
 *
 * @param options Settings, the site's protocol and clients, logs, metrics, clocks.
 * @returns The host, once it listens.
 * @throws Rejects where an address cannot be used.
 *
 * @example
 * ```ts
 * const host = await startEntryHost(options);
 * await host.stop();
 * ```
 */
export async function startEntryHost(options: EntryHostOptions): Promise<EntryHost> {
    const host = new RunningHost(options);
    try {
        await host.start();
    }
    catch (error) {
        await host.close();
        throw error;
    }
    return host;
}
