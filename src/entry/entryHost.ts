/**
 * One entry host: connects the key-value service's mirror, the forwarder, the managed engines and the gossip.
 *
 * @module
 */
import { type RandomSource } from "../decision/index.js";
import { type ClockReading, EngineDuties } from "../duties/index.js";
import { type UpstreamAnnouncement } from "../fleet/index.js";
import { AdapterUse, AdapterUsers, BufferedAnswerBytes, SharedRetryBudget } from "../forwarding/index.js";
import {
    type AdapterWish,
    engineHolderSchema,
    type EngineMemory,
    type FleetSummary,
    type HostDigest,
    hostRegistrationSchema,
    type PlannedMove,
} from "../generated/gossip.js";
import { type GossipMessage, type openGossipLink, PeerTable } from "../gossip/index.js";
import { type EntryMetrics, type Logger, TimeSpent } from "../observability/index.js";
import { type EngineRecord, type PlacementMove, splitAdapterName, type VersionCopyNeed } from "../placement/index.js";
import { type KeyValueEntry, type KeyValueService } from "../platform/index.js";
import { parseJson } from "../platform/parseJson.js";
import { type LimitChange } from "../rateLimits/index.js";
import { compileRouteTable, resumableStreams, type RouteTable } from "../routes/index.js";
import { toLeavingIncarnation, toMemory, toPublished, withoutJournal } from "./_gossipParts.js";
import { VERSIONS_KEY } from "./_versionRecordWriter.js";
import { AdapterRequesters } from "./adapterRequesters.js";
import { EngineOrders, HOLDER_KEY_PREFIX } from "./engineOrders.js";
import { FleetPlanner } from "./fleetPlanner.js";
import { createForwarder, type Forwarder } from "./forwarder.js";
import { type ForwardingContext } from "./forwardingContext.js";
import { type AdapterUseReport, HostGossip } from "./hostGossip.js";
import { digestIntervalMilliseconds, GATHER_MILLISECONDS, renewalIntervalMilliseconds } from "./hostIntervals.js";
import { ADDRESS_KEEP_SECONDS, HostServers } from "./hostServers.js";
import { HOST_KEY_PREFIX, HostSession } from "./hostSession.js";
import { InterCellGossip } from "./interCellGossip.js";
import { OutageAgreement } from "./outageAgreement.js";
import { PartitionWatch } from "./partitionWatch.js";
import { PeerCatchUp } from "./peerCatchUp.js";
import { RateLimiting } from "./rateLimiting.js";
import { ServiceReachability } from "./serviceReachability.js";
import { type EntrySettings } from "./settings.js";
import { SiteDemand } from "./siteDemand.js";
import { type EngineControl, type SiteProtocol } from "./siteProtocol.js";
import { StoredEntries } from "./storedEntries.js";
import { type MirrorEvent, StoreMirror } from "./storeMirror.js";
import { RESTORES_KEY, StoreRestores } from "./storeRestores.js";
import { StoreWatchPolicy } from "./storeWatchPolicy.js";
import { STREAM_KEY_PREFIX, StreamVersions } from "./streamVersions.js";
import { UpstreamAgents } from "./upstreamAgents.js";
import { UpstreamTracker } from "./upstreamTracker.js";

/** Some callers cache a directory answer for three times as long as it permits. */
const MAXIMUM_KEEP_FACTOR = 3;

/** Reserved at the end of the grace period for the last answers and the exit. */
const EXIT_MARGIN_MILLISECONDS = 400;

/** Interval at which a leaving host checks whether its last requests have ended. */
const LEAVING_CHECK_INTERVAL_MILLISECONDS = 20;

/** A holder may send orders for this long after a successful renewal of its session. */
const HOLDER_CONFIRMED_MILLISECONDS = 1_500;

/** Delay of additional digests that carry news of crashes; several events of one crash come together. */
const CRASH_NEWS_DELAY_MILLISECONDS = 20;

/** Upper bound on the limits in one digest. */
const MAXIMUM_LIMITS_PER_DIGEST = 256;

/** Minimum interval of additional digests for limits that upstreams name or withdraw. */
const LIMIT_PUBLISH_INTERVAL_MILLISECONDS = 200;

/** Stands for the other cells where reported state is kept by host. */
const OTHER_CELLS_SOURCE = "(rest of the fleet)";

/** Hosts of a cell that get its demand: the cell representative and those next in order, which may succeed it. */
const REPRESENTATIVES_WITH_DEMAND = 3;

const MILLISECONDS_PER_SECOND = 1_000;

/** Options of an entry host. */
export interface EntryHostOptions {
    readonly settings: EntrySettings;
    readonly protocol: SiteProtocol;
    readonly keyValue: KeyValueService;
    readonly control: EngineControl;
    readonly logger: Logger;
    readonly metrics: EntryMetrics;
    readonly random: RandomSource;
    readonly readClocks: () => ClockReading;
    /** Returns the processor time that this process has used, in microseconds. */
    readonly readProcessorMicroseconds: () => number;
    /** Names the build of this program; `unnamed` by default. */
    readonly build?: string;
    /** Opens the link to the other hosts; {@linkcode openGossipLink} by default. */
    readonly openLink?: typeof openGossipLink;
}

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
    readonly #options: EntryHostOptions;
    readonly #build: string;
    #settings: EntrySettings;
    readonly #timeSpent: TimeSpent;
    readonly #upstreams: UpstreamTracker;
    readonly #rateLimiting: RateLimiting;
    readonly #demand = new SiteDemand();
    readonly #adapterUsers = new AdapterUsers();
    readonly #adapterUse = new AdapterUse();
    readonly #budget: SharedRetryBudget;
    readonly #peers: PeerTable;
    readonly #gossip: HostGossip;
    readonly #interCellGossip: InterCellGossip;
    readonly #adapterRequesters = new AdapterRequesters();
    readonly #duties: EngineDuties;
    readonly #agreement: OutageAgreement;
    readonly #reachability: ServiceReachability;
    readonly #entries: StoredEntries;
    readonly #watchPolicy = new StoreWatchPolicy();
    readonly #mirror: StoreMirror;
    readonly #restores: StoreRestores;
    readonly #session: HostSession;
    readonly #streamVersions: StreamVersions;
    readonly #partitionWatch: PartitionWatch;
    readonly #planner: FleetPlanner;
    readonly #orders: EngineOrders;
    readonly #catchUp: PeerCatchUp;
    readonly #forwarder: Forwarder;
    readonly #agents = new UpstreamAgents();
    readonly #servers: HostServers;
    #table: RouteTable | undefined;
    /** True once the upstreams are known, from the key-value service or from a peer. */
    #upstreamsKnown = false;
    #sessionBegun = false;
    #leaving = false;
    /** Set while the host is leaving and accepts no further requests. */
    #closedToCallers = false;
    #closed = false;
    /** Resolves once the host has stopped; `undefined` before it is told to. */
    #stopped: Promise<void> | undefined;
    #digestTimer: NodeJS.Timeout | undefined;
    #crashNewsTimer: NodeJS.Timeout | undefined;
    #limitPublishedAtMilliseconds = Number.NEGATIVE_INFINITY;

    constructor(options: EntryHostOptions) {
        this.#options = options;
        this.#build = options.build ?? "unnamed";
        this.#settings = options.settings;
        const { bounds, host, zone } = options.settings;
        const { keyValue, logger, metrics, readClocks } = options;
        this.#timeSpent = new TimeSpent({
            logger,
            metrics,
            readClock: () => this.#now(),
            readProcessorMicroseconds: options.readProcessorMicroseconds,
        });
        this.#budget = new SharedRetryBudget({
            windowMilliseconds: bounds.retryWindowMilliseconds,
            ratio: bounds.retryRatio,
            extra: bounds.retryExtra,
        });
        this.#peers = new PeerTable(host, zone);
        this.#gossip = new HostGossip({
            host,
            peers: this.#peers,
            logger,
            metrics,
            timeSpent: this.#timeSpent,
            readClock: () => this.#now(),
            hostsNeedingDemand: () => this.#hostsNeedingDemand(),
            openLink: options.openLink,
            onMessage: message => this.#handleGossip(message),
        });
        this.#interCellGossip = new InterCellGossip({
            host,
            peers: this.#peers,
            gossip: this.#gossip,
            logger,
            metrics,
            readClock: () => this.#now(),
            crashes: () => toPublished(this.#upstreams.crashes.aggregate(this.#now())),
            onOtherCells: aggregate => this.#applyOtherCells(aggregate),
        });
        this.#duties = new EngineDuties(host, {
            confirmedMilliseconds: HOLDER_CONFIRMED_MILLISECONDS,
            handoverMilliseconds: bounds.handoverMilliseconds,
        });
        this.#reachability = new ServiceReachability({
            logger,
            readClock: () => this.#now(),
            revision: () => this.#mirror.revision,
            onUnresponsive: () => this.#publishDigest(),
        });
        this.#agreement = new OutageAgreement({
            host,
            duties: this.#duties,
            readClocks,
            serviceAnswers: () => this.#reachability.hasRecentAnswer(),
            otherHosts: () => this.#peers.possibleHolders(this.#now()).map(peer => peer.host),
        });
        this.#upstreams = this.#createUpstreams();
        this.#rateLimiting = this.#createRateLimiting();
        this.#entries = this.#createEntries();
        this.#mirror = new StoreMirror({
            keyValue,
            logger,
            batchMilliseconds: () => GATHER_MILLISECONDS,
            mustWatch: () => this.#mustWatch(),
            onBatch: batch => this.#gossip.forwardChanges(withoutJournal(batch)),
            onEvent: event => this.#handleMirrorEvent(event),
        });
        this.#restores = this.#createRestores();
        this.#session = this.#createSession();
        this.#streamVersions = this.#createStreamVersions();
        this.#partitionWatch = this.#createPartitionWatch();
        this.#planner = this.#createPlanner();
        this.#orders = this.#createOrders();
        this.#catchUp = new PeerCatchUp({
            ownAddress: () => this.#addresses().state,
            sourceAddresses: () => this.#catchUpSources(),
            applyEntries: (entries, source) => this.#applyPeerEntries(entries, source),
        });
        this.#forwarder = createForwarder(this.#createForwardingContext());
        this.#servers = this.#createServers();
    }

    async start(): Promise<void> {
        const { logger } = this.#options;
        const { host, zone, gossip } = this.#settings;
        logger.info("starting", { host, zone, callers: this.#addresses().callers });
        await this.#gossip.open(gossip);
        await this.#servers.start();
        this.#mirror.start();
        this.#orders.start();
        this.#partitionWatch.start();
        this.#scheduleDigest();
        logger.info("started", { host });
    }

    reload(settings: EntrySettings): void {
        this.#options.logger.info("settings reloaded", { host: settings.host });
        this.#settings = settings;
    }

    stop(): Promise<void> {
        this.#stopped ??= this.#closed ? Promise.resolve() : this.#leave();
        return this.#stopped;
    }

    async #leave(): Promise<void> {
        const { logger } = this.#options;
        const startedAt = this.#now();
        this.#leaving = true;
        logger.info("stopping", { open: this.#forwarder.openRequestCount });
        this.#publishDigest();
        await this.#orders.leave();
        await this.#endSession();
        const keptMilliseconds = ADDRESS_KEEP_SECONDS * MAXIMUM_KEEP_FACTOR * MILLISECONDS_PER_SECOND;
        const finalMilliseconds = this.#settings.bounds.graceMilliseconds - EXIT_MARGIN_MILLISECONDS;
        await this.#waitUntil(startedAt + Math.min(keptMilliseconds, finalMilliseconds));
        this.#closedToCallers = true;
        logger.info("closed to callers", { open: this.#forwarder.openRequestCount });
        while (this.#forwarder.openRequestCount > 0 && this.#now() < startedAt + finalMilliseconds) {
            await this.#waitUntil(this.#now() + LEAVING_CHECK_INTERVAL_MILLISECONDS);
        }
        this.#forwarder.abortAll();
        this.#servers.closeToCallers();
        await this.#leavePeers();
        await this.close();
        logger.info("stopped", { tookMilliseconds: Math.round(this.#now() - startedAt) });
    }

    /** Relinquishes the engines that could not be handed over, publishes that to peers, and ends the session. */
    async #leavePeers(): Promise<void> {
        this.#orders.stop();
        this.#publishDigest();
        await this.#endSession();
    }

    /**
     * Ends the session. While the key-value service does not answer, a holder keeps its session, since a request to end
     * it might take effect later. Other hosts renew too rarely to know whether the service answers.
     */
    async #endSession(): Promise<void> {
        if (this.#reachability.hasRecentAnswer() || !this.#duties.mayHold) {
            await this.#session.close();
        }
    }

    async close(): Promise<void> {
        this.#closed = true;
        this.#session.abandon();
        clearTimeout(this.#digestTimer);
        clearTimeout(this.#crashNewsTimer);
        this.#reachability.close();
        this.#rateLimiting.close();
        this.#streamVersions.close();
        this.#partitionWatch.close();
        this.#orders.close();
        await this.#mirror.close();
        await this.#options.keyValue.close();
        this.#gossip.close();
        this.#servers.close();
        this.#agents.close();
    }

    #waitUntil(atMilliseconds: number): Promise<void> {
        return new Promise(resolve => setTimeout(resolve, Math.max(0, atMilliseconds - this.#now())));
    }

    #now(): number {
        return this.#options.readClocks().steadyMilliseconds;
    }

    /** Divides what all hosts share, retries and connections to upstreams, by the number of known hosts. */
    #shareAmongHosts(): void {
        const hostCount = this.#peers.all(this.#now()).length + 1;
        this.#budget.setHostCount(hostCount);
        this.#agents.setHostCount(hostCount);
    }

    #addresses(): HostDigest["addresses"] {
        const { callers, gossip, state } = this.#settings;
        return {
            callers: `${callers.address}:${callers.port}`,
            gossip: `${gossip.address}:${gossip.port}`,
            state: `${state.address}:${state.port}`,
        };
    }

    #isReady(): boolean {
        const isReadable = this.#table !== undefined && this.#upstreamsKnown;
        return isReadable && !this.#leaving && !this.#partitionWatch.isPartitioned;
    }

    #createUpstreams(): UpstreamTracker {
        const { logger, metrics, protocol, random } = this.#options;
        return new UpstreamTracker({
            host: this.#settings.host,
            headers: protocol.headers,
            decodeUpstream: (upstream, value) => protocol.decodeUpstream(upstream, value),
            logger,
            metrics,
            readClock: () => this.#now(),
            random,
            onAnnounced: announcement => this.#orders.applyAnnouncement(announcement),
            onJoined: () => this.#planner.recordEnginesJoined(),
            onChanged: () => this.#handleUpstreamsChanged(),
            onCrashNews: () => this.#scheduleCrashNews(),
            onLimitChanged: change => this.#handleLimitChange(change),
        });
    }

    /** Publishes a new or withdrawn limit to peers at once, but not more often than some times a second. */
    #handleLimitChange({ previousRequestsPerSecond, requestsPerSecond }: LimitChange): void {
        this.#rateLimiting.handleLimitChange();
        const beginsOrEnds = previousRequestsPerSecond === undefined || requestsPerSecond === undefined;
        const isDue = this.#now() - this.#limitPublishedAtMilliseconds >= LIMIT_PUBLISH_INTERVAL_MILLISECONDS;
        if (beginsOrEnds && isDue) {
            this.#limitPublishedAtMilliseconds = this.#now();
            this.#interCellGossip.publishAggregates(this.#publishDigest());
        }
    }

    /** Publishes news of crashes before the next digest is due, a few times since datagrams may be lost. */
    #scheduleCrashNews(): void {
        if (this.#hasCrashNews()) {
            this.#crashNewsTimer ??= setTimeout(() => this.#publishCrashNews(), CRASH_NEWS_DELAY_MILLISECONDS);
        }
    }

    #publishCrashNews(): void {
        this.#crashNewsTimer = undefined;
        if (!this.#closed && this.#hasCrashNews()) {
            this.#interCellGossip.publishAggregates(this.#publishDigest());
            this.#scheduleCrashNews();
        }
    }

    /** Returns whether the own cell, or through this host another one, should hear of crashes soon. */
    #hasCrashNews(): boolean {
        const { crashes } = this.#upstreams;
        return crashes.hasUnpublishedNews()
            || (this.#interCellGossip.publishesAggregates && crashes.hasNewsToPassOn());
    }

    #createRateLimiting(): RateLimiting {
        return new RateLimiting({
            host: this.#settings.host,
            limits: this.#upstreams.limits,
            peers: this.#peers,
            metrics: this.#options.metrics,
            readClock: () => this.#now(),
            isLeaving: () => this.#leaving,
            isPresent: upstream => this.#upstreams.isPresent(upstream),
            send: (host, message) => this.#gossip.sendPermitMessage(host, message),
            onLimitChanged: (change, receivedBy) => this.#upstreams.reportLimitChange(change, receivedBy),
            onAnswered: () => this.#forwarder.wake(),
        });
    }

    /** Creates the copy of the key-value service's entries, with a handler for each kind. */
    #createEntries(): StoredEntries {
        const { keys } = this.#options.protocol;
        return new StoredEntries([
            {
                prefix: keys.configuration,
                onPut: (_name, entry) => this.#applyConfiguration(entry),
                isOutdated: (entry, previous) => this.#isOutdated(entry, previous),
            },
            {
                prefix: RESTORES_KEY,
                onPut: (_name, entry) => this.#restores.applySettled(entry),
                // A record that a restore has lost is removed, so that it can be written anew.
                onRemoved: () => undefined,
            },
            {
                prefix: keys.upstreamPrefix,
                onPut: (upstream, entry) => this.#upstreams.applyRecord(upstream, entry),
                onRemoved: upstream => this.#upstreams.remove(upstream),
            },
            {
                prefix: HOST_KEY_PREFIX,
                onPut: (_name, entry) => this.#applyRegistration(entry),
                onRemoved: host => this.#forgetHost(host),
            },
            {
                prefix: HOLDER_KEY_PREFIX,
                onPut: (engine, entry) => this.#applyHolder(engine, entry),
                onRemoved: engine => this.#duties.setHolder(engine, undefined, this.#now()),
            },
            {
                prefix: STREAM_KEY_PREFIX,
                onPut: (name, entry) => this.#streamVersions.applyEntry(name, entry),
                onRemoved: name => this.#streamVersions.handleRemoved(name),
            },
        ]);
    }

    #createRestores(): StoreRestores {
        const { keyValue, logger, metrics } = this.#options;
        return new StoreRestores({
            keyValue,
            duties: this.#duties,
            view: this.#upstreams.view,
            logger,
            metrics,
            readClock: () => this.#now(),
            settledEntry: () => this.#entries.get(RESTORES_KEY),
            onRestored: reason => {
                this.#session.restart(reason);
                this.#mirror.relist(reason);
            },
            onLaterEntry: entry => this.#applyLaterEntry(entry),
        });
    }

    #createStreamVersions(): StreamVersions {
        const { keyValue, logger, metrics, random } = this.#options;
        return new StreamVersions({
            host: this.#settings.host,
            keyValue,
            logger,
            metrics,
            random,
            peers: this.#peers,
            view: this.#upstreams.view,
            readClock: () => this.#now(),
            resumable: () => resumableStreams(this.#table?.configuration.routes ?? []),
            recordEntry: () => this.#entries.get(VERSIONS_KEY),
            onLaterEntry: entry => this.#applyLaterEntry(entry),
            send: (hosts, message) => this.#gossip.sendStreamMessage(hosts, message),
            onChanged: () => this.#forwarder.wake(),
        });
    }

    #createPartitionWatch(): PartitionWatch {
        const { logger, metrics, random } = this.#options;
        return new PartitionWatch({
            contact: this.#upstreams.contact,
            view: this.#upstreams.view,
            logger,
            metrics,
            random,
            readClock: () => this.#now(),
            onChanged: () => {
                this.#interCellGossip.publishAggregates(this.#publishDigest());
                this.#forwarder.wake();
            },
        });
    }

    #handleUpstreamsChanged(): void {
        this.#streamVersions.check();
        this.#forwarder.wake();
    }

    #createSession(): HostSession {
        const { keyValue, logger, readClocks } = this.#options;
        const { host, zone } = this.#settings;
        return new HostSession({
            host,
            zone,
            addresses: this.#addresses(),
            keyValue,
            logger,
            readClocks,
            renewalIntervalMilliseconds: () => renewalIntervalMilliseconds(this.#duties.mayHold),
            hostRecordRevision: () => this.#entries.revisionOf(`${HOST_KEY_PREFIX}${host}`),
            onConfirmed: (session, sentAt) => {
                this.#duties.recordRenewal(session, sentAt);
                this.#duties.setSession(host, session);
            },
            onLost: () => {
                this.#orders.handleSessionLost();
                this.#duties.setSession(host, undefined);
            },
            onCallOutcome: succeeded => {
                if (succeeded && !this.#reachability.reachable) {
                    this.#mirror.restartWatch("the service answers again");
                }
                this.#recordServiceOutcome(succeeded);
            },
            onCallTimeout: () => this.#mirror.restartWatch("a call got no answer"),
        });
    }

    #createPlanner(): FleetPlanner {
        const { logger, metrics } = this.#options;
        const { bounds, host } = this.#settings;
        return new FleetPlanner({
            host,
            duties: this.#duties,
            view: this.#upstreams.view,
            residency: this.#upstreams.residency,
            logger,
            metrics,
            timeSpent: this.#timeSpent,
            storeLoads: { windowMilliseconds: bounds.storeLoadWindowMilliseconds, overage: bounds.storeLoadOverage },
            readClock: () => this.#now(),
            routeTable: () => this.#table,
            isLive: other => other === host ? !this.#leaving : this.#peers.isLiveAndNotLeaving(other, this.#now()),
            hasDemand: () => this.#demand.hasDemand(this.#now()),
            demand: () => this.#demand.total("demand", this.#now()),
            adapterDemand: () => this.#demand.total("adapterDemand", this.#now()),
            prefillDemand: () => this.#demand.total("readingDemand", this.#now()),
            isUnreachable: engine => this.#upstreams.isUnreachable(engine),
            ownRecord: engine => this.#orders.recordOf(engine),
            unavailableShare: engine => this.#unavailableShare(engine),
            requestMove: (holder, move) => this.#requestMove(holder, move),
        });
    }

    /** Returns the share of an engine's slots that stays free while it gets no more requests than its limit allows. */
    #unavailableShare({ id, slots }: UpstreamAnnouncement): number {
        const requestsPerSecond = this.#upstreams.limits.inForce(id)?.requestsPerSecond;
        const { meanRunMilliseconds } = this.#demand;
        if (requestsPerSecond === undefined || meanRunMilliseconds === undefined) {
            return 0;
        }
        const usedSlots = requestsPerSecond * meanRunMilliseconds / MILLISECONDS_PER_SECOND;
        return 1 - Math.min(1, usedSlots / Math.max(1, slots));
    }

    /** Returns the hosts that may plan or represent the cell now, and those that may succeed them. */
    #hostsNeedingDemand(): ReadonlySet<string> {
        const candidates = this.#duties.candidates(this.#upstreams.view.all().length);
        const representatives = this.#peers.membersWithRecentDigest(this.#now()).slice(0, REPRESENTATIVES_WITH_DEMAND);
        return new Set([...candidates, ...representatives]);
    }

    #requestMove(holder: string, move: PlacementMove): void {
        if (holder === this.#settings.host) {
            this.#orders.handleMoveRequest(move, holder);
        }
        else {
            this.#gossip.requestMove(holder, { ...move, dropped: [...move.dropped] });
        }
    }

    #createOrders(): EngineOrders {
        const { control, keyValue, logger, metrics, readClocks } = this.#options;
        const { bounds, host } = this.#settings;
        return new EngineOrders({
            host,
            duties: this.#duties,
            view: this.#upstreams.view,
            keyValue,
            control,
            logger,
            metrics,
            storeLoads: { windowMilliseconds: bounds.storeLoadWindowMilliseconds, overage: bounds.storeLoadOverage },
            readClocks,
            serviceAnswers: () => this.#reachability.hasRecentAnswer(),
            hostsWithoutConsent: () => this.#agreement.hostsWithoutConsent(),
            routeTable: () => this.#table,
            isAdapterUsed: (engine, adapter) => this.#adapterUsers.isUsed(engine, adapter, this.#now()),
            plan: () => this.#planner.tick(),
            notifyPreviousHolder: ({ previousHost, engine, holder }) => {
                const { revision, ...record } = holder;
                this.#gossip.notifyPreviousHolder(previousHost, { engine, revision, holder: record });
            },
            onLaterEntry: entry => this.#applyLaterEntry(entry),
            onAnswer: (engine, head, sentAtMilliseconds) =>
                this.#upstreams.recordAnswerHead(engine, head, sentAtMilliseconds),
            onRecordChanged: record => this.#publishRecord(record),
        });
    }

    #createForwardingContext(): ForwardingContext {
        const { logger, metrics, protocol, random } = this.#options;
        const { backlog, crashes, health, loads, pauses, prompts, residency, view } = this.#upstreams;
        return {
            zone: this.#settings.zone,
            headers: protocol.headers,
            logger,
            metrics,
            random,
            readClock: () => this.#now(),
            view,
            residency,
            loads,
            health,
            pauses,
            rateLimiting: this.#rateLimiting,
            budget: this.#budget,
            crashes,
            streamVersions: this.#streamVersions,
            contact: this.#upstreams.contact,
            prompts,
            backlog,
            heldBytes: new BufferedAnswerBytes(),
            demand: this.#demand,
            adapterUse: this.#adapterUse,
            routeTable: () => this.#table,
            agentFor: service => {
                const limit = this.#table?.service(service)?.maximumConnections;
                return this.#agents.agentFor(service, limit);
            },
            hostCount: () => this.#peers.live(this.#now()).length + 1,
            requestAdapter: (engine, model, adapter) => this.#requestAdapter(engine, model, adapter),
            requestVersionCopy: need => this.#requestVersionCopy(need),
            publishRequestSent: (engine, promptTokens) =>
                this.#gossip.publishRequestSent(
                    engine,
                    promptTokens,
                    peer => loads.usesUpstream(peer, engine, this.#now()),
                ),
            reportAdapterUse: (engine, adapter, inUse) => this.#reportAdapterUse(engine, adapter, inUse),
            recordModelAbsent: (engine, model) => this.#orders.recordModelAbsent(engine, model),
            recordUnreachable: (upstream, isRefused) => this.#upstreams.recordUnreachable(upstream, isRefused),
            recordSent: attributes => this.#upstreams.recordSent(attributes),
            recordLost: (attributes, upstream) => this.#upstreams.recordLost(attributes, upstream),
            recordAnswered: (attributes, upstream) => this.#upstreams.recordAnswered(attributes, upstream),
            recordAnswerHead: (upstream, head, sentAtMilliseconds) =>
                this.#upstreams.recordAnswerHead(upstream, head, sentAtMilliseconds),
            isLeaving: () => this.#leaving,
            isPartitioned: () => this.#partitionWatch.isPartitioned,
            closesConnections: () => this.#leaving || this.#partitionWatch.isPartitioned,
            isClosedToCallers: () => this.#closedToCallers,
        };
    }

    #createServers(): HostServers {
        const { logger, metrics, protocol } = this.#options;
        return new HostServers({
            settings: () => this.#settings,
            calls: protocol.calls,
            logger,
            metrics,
            forward: (message, response) => this.#forwarder.handle(message, response),
            isReady: () => this.#isReady(),
            advertised: () => this.#peers.advertised(this.#now()),
            sharedState: () => ({
                revision: this.#mirror.revision ?? 0,
                entries: this.#entries.all().map(({ key, value, revision }) => ({ key, value, revision })),
            }),
            refreshGauges: () => this.#refreshGauges(),
        });
    }

    #requestAdapter(engine: string, model: string, adapter: string): boolean {
        const holder = this.#duties.holderOf(engine);
        if (holder === this.#settings.host) {
            return this.#orders.requestAdapter(engine, model, adapter);
        }
        return holder !== undefined && this.#gossip.requestAdapter(holder, { engine, model, adapter });
    }

    #requestVersionCopy(need: VersionCopyNeed): void {
        const { planner } = this.#planner;
        if (planner === this.#settings.host) {
            this.#planner.recordVersionCopyNeeded(need);
        }
        else if (planner !== undefined) {
            this.#gossip.requestVersionCopy(planner, need);
        }
    }

    #handleMirrorEvent(event: MirrorEvent): void {
        switch (event.type) {
            case "contact":
                this.#recordServiceOutcome(event.succeeded);
                break;
            case "listed":
                this.#applyListing(event.entries);
                break;
            case "put":
                this.#entries.put(event.entry);
                break;
            case "removed":
                this.#entries.remove(event.key);
        }
    }

    /** Applies an entry that a call returned and that is later than the mirror's. */
    #applyLaterEntry(entry: KeyValueEntry): void {
        this.#entries.put(entry);
        this.#mirror.recordLaterRevision(entry.revision, this.#now());
    }

    #mustWatch(): boolean {
        const now = this.#now();
        const input = {
            host: this.#settings.host,
            members: this.#peers.membersWithRecentDigest(now),
            revision: this.#mirror.revision ?? 0,
        };
        return this.#watchPolicy.mustWatch(input, now);
    }

    #recordServiceOutcome(succeeded: boolean): void {
        if (!succeeded) {
            this.#upstreams.view.recordServiceFailure(this.#now());
        }
        this.#reachability.recordOutcome(succeeded);
    }

    #applyListing(entries: readonly KeyValueEntry[]): void {
        this.#restores.applyListing(() => this.#entries.replaceAll(entries));
        this.#upstreamsKnown = true;
        this.#options.logger.info("key-value service listed", {
            entries: entries.length,
            revision: this.#mirror.revision,
            configurationVersion: this.#table?.version,
        });
        if (!this.#sessionBegun) {
            this.#sessionBegun = true;
            this.#restores.handleStart();
            this.#session.start();
        }
    }

    #forgetHost(host: string): void {
        this.#duties.setSession(host, undefined);
        this.#peers.unregister(host, this.#now());
        this.#shareAmongHosts();
        if (host === this.#settings.host && !this.#leaving) {
            this.#session.handleRecordRemoved();
        }
    }

    /** Returns whether a stored configuration is older than the previous one, as in a restored snapshot. */
    #isOutdated(entry: KeyValueEntry, previous: KeyValueEntry): boolean {
        const { protocol } = this.#options;
        const versionOf = ({ value }: KeyValueEntry): number | undefined =>
            protocol.decodeConfiguration(value).unwrapOr(undefined)?.version;
        const [version, previousVersion] = [versionOf(entry), versionOf(previous)];
        return version !== undefined && previousVersion !== undefined && version < previousVersion;
    }

    #applyConfiguration(entry: KeyValueEntry): void {
        const decoded = this.#options.protocol.decodeConfiguration(entry.value);
        if (decoded.isErr()) {
            this.#options.logger.error("configuration not readable", {
                revision: entry.revision,
                detail: decoded.error.message,
            });
            return;
        }
        if (decoded.value.version <= (this.#table?.version ?? -1)) {
            return;
        }
        this.#table = compileRouteTable(decoded.value);
        this.#options.logger.info("configuration in force", {
            version: decoded.value.version,
            revision: entry.revision,
            routes: decoded.value.routes.length,
            services: decoded.value.services.length,
        });
        this.#servers.applyLimits(this.#table.configuration.limits);
        this.#handleUpstreamsChanged();
    }

    #applyRegistration(entry: KeyValueEntry): void {
        const record = hostRegistrationSchema.safeParse(parseJson(entry.value)).data;
        if (record === undefined) {
            this.#options.logger.warn("host record not readable", { key: entry.key, revision: entry.revision });
            return;
        }
        if (record.host !== this.#settings.host) {
            this.#duties.setSession(record.host, record.session);
        }
        this.#peers.register(record, this.#now());
        this.#shareAmongHosts();
    }

    #applyHolder(engine: string, entry: KeyValueEntry): void {
        const record = engineHolderSchema.safeParse(parseJson(entry.value)).data;
        if (record === undefined) {
            this.#options.logger.warn("holder record not readable", { key: entry.key, revision: entry.revision });
            return;
        }
        this.#duties.setHolder(engine, { ...record, revision: entry.revision }, this.#now());
    }

    #handleGossip(message: GossipMessage): void {
        switch (message.type) {
            case "digest":
                this.#handleDigest(message);
                break;
            case "changes":
                this.#mirror.applyBatch(message);
                break;
            case "summary":
                this.#interCellGossip.receiveAggregate(message);
                break;
            case "wish":
                this.#handleAdapterRequest(message);
                break;
            case "holder":
                this.#duties.setHolder(
                    message.engine,
                    { ...message.holder, revision: message.revision },
                    this.#now(),
                );
                break;
            case "news":
                this.#applyMemory(message.engine, this.#now());
                break;
            case "move":
                this.#handleMoveRequest(message);
                break;
            case "sent":
                this.#upstreams.loads.recordStartedByPeer(message.engine);
                this.#upstreams.backlog.recordSentByPeer(message.engine, message.promptTokens, this.#now());
                break;
            case "use":
                this.#recordAdapterUse(message);
                break;
            case "permit-request":
            case "permit-grant":
                this.#rateLimiting.receive(message);
                break;
            case "streams-begun":
            case "stream-question":
                this.#streamVersions.receive(message);
                break;
            case "version-copy":
                this.#planner.recordVersionCopyNeeded(message);
        }
    }

    /** Handles a move request; sends the engine's memory to the requester, whichever planner this host knows of. */
    #handleMoveRequest(move: PlannedMove): void {
        this.#orders.handleMoveRequest(move, move.host);
        const record = this.#orders.recordOf(move.engine);
        if (record !== undefined) {
            this.#gossip.sendEngineMemory(move.host, toMemory(record));
        }
    }

    #handleDigest(digest: HostDigest): void {
        const now = this.#now();
        this.#peers.recordDigest(digest, now);
        this.#interCellGossip.receiveDigest(digest);
        this.#watchPolicy.recordStatement(digest, now);
        this.#mirror.adjustWatch();
        this.#partitionWatch.recordStatement(digest.host, digest.hearsUpstreams);
        this.#adapterUsers.replaceUses(digest.host, digest.adaptersInUse, now);
        this.#rateLimiting.limiter.recordVotes(digest.host, digest.limits ?? [], now);
        this.#applyReportedState(digest.host, digest);
        this.#agreement.receiveStatement(digest);
    }

    /** Applies the aggregate of the other cells as the report of one further peer. */
    #applyOtherCells(aggregate: FleetSummary): void {
        const now = this.#now();
        aggregate.hosts.forEach(host => this.#peers.recordListed(host, now));
        aggregate.partitionedHosts?.forEach(host => this.#peers.recordPartitioned(host));
        this.#partitionWatch.recordStatement(OTHER_CELLS_SOURCE, aggregate.hearsUpstreams);
        this.#rateLimiting.limiter.recordOtherCells(aggregate, now);
        this.#applyReportedState(OTHER_CELLS_SOURCE, aggregate);
    }

    #applyReportedState(source: string, reported: HostDigest | FleetSummary): void {
        const now = this.#now();
        this.#mirror.recordLaterRevision(reported.storeRevision, now);
        this.#upstreams.loads.recordPeerRequests(source, reported.inFlight, now);
        this.#demand.recordPeerDemand(source, reported, now);
        reported.unreachable.forEach(upstream => this.#upstreams.unreachableReports.record(upstream, source, now));
        reported.leavingRuns.forEach(({ startedAtMilliseconds, upstream }) =>
            this.#upstreams.recordLeavingIncarnation({ id: upstream, startedAtMilliseconds })
        );
        reported.relinquished.forEach(report => this.#duties.recordRelinquishment(report, now));
        reported.engines.forEach(memory => this.#applyMemory(memory, now));
        if (reported.crashes !== undefined) {
            this.#upstreams.recordCrashReport(reported.crashes);
        }
    }

    /** Records an adapter request; sends the engine's memory where it already holds the adapter. */
    #handleAdapterRequest({ adapter, engine, host, model }: AdapterWish): void {
        this.#adapterRequesters.record(engine, host, this.#now());
        this.#orders.requestAdapter(engine, model, adapter);
        const record = this.#orders.recordOf(engine);
        const held = record?.models.find(({ name }) => name === model);
        if (record !== undefined && held?.adapters.includes(adapter) === true) {
            this.#gossip.sendEngineMemory(host, toMemory(record));
        }
    }

    /** Records an adapter use: adapters in use are not evicted, others in order of their last use. */
    #recordAdapterUse({ adapter, engine, host, inUse }: AdapterUseReport): void {
        this.#adapterUsers.recordUse(host, { engine, adapter, inUse }, this.#now());
        const name = splitAdapterName(adapter);
        this.#orders.recordAdapterUse(engine, name.model, name.adapter);
    }

    #reportAdapterUse(engine: string, adapter: string, inUse: boolean): void {
        const use = { host: this.#settings.host, engine, adapter, inUse };
        this.#recordAdapterUse(use);
        const holder = this.#duties.holderOf(engine);
        if (holder !== undefined) {
            this.#gossip.reportAdapterUse(holder, use);
        }
    }

    #applyMemory(memory: EngineMemory, nowMilliseconds: number): void {
        const record: EngineRecord = {
            engine: memory.engine,
            startedAtMilliseconds: memory.startedAtMilliseconds,
            orderCount: memory.orderCount,
            models: memory.models,
            loading: memory.loading,
        };
        if (
            this.#upstreams.view.get(memory.engine) !== undefined
            && this.#upstreams.residency.applyRecord(record, nowMilliseconds)
        ) {
            this.#forwarder.wake();
        }
    }

    #publishRecord(record: EngineRecord): void {
        this.#upstreams.residency.applyRecord(record, this.#now());
        this.#forwarder.wake();
        const planner = this.#planner.planner;
        const requesters = this.#adapterRequesters.hostsFor(record.engine, this.#now());
        this.#gossip.publishEngineMemory(
            toMemory(record),
            planner === undefined ? requesters : [...requesters, planner],
        );
    }

    #scheduleDigest(): void {
        const cellHosts = this.#peers.division().ownCell.length;
        this.#digestTimer = setTimeout(() => this.#handleDigestTimer(), digestIntervalMilliseconds(cellHosts));
    }

    #handleDigestTimer(): void {
        if (this.#closed) {
            return;
        }
        this.#peers.forget(this.#now());
        this.#scheduleDigest();
        this.#upstreams.expire();
        this.#streamVersions.check();
        this.#adapterUsers.replaceUses(this.#settings.host, this.#adapterUse.all(), this.#now());
        this.#mirror.adjustWatch();
        this.#interCellGossip.publishAggregates(this.#publishDigest());
        this.#resendAdapterUse();
        this.#timeSpent.report();
        if (!this.#leaving && this.#reachability.hasRecentAnswer()) {
            void this.#restores.recordSettled();
        }
        void this.#catchUp.run();
    }

    /** Resends adapter uses to holders in other cells: they get no digests, and datagrams may be lost. */
    #resendAdapterUse(): void {
        const cellPeers = new Set(this.#peers.cellPeers().map(({ host }) => host));
        for (const [engine, adapters] of Object.entries(this.#adapterUse.all())) {
            const holder = this.#duties.holderOf(engine);
            if (holder !== undefined && holder !== this.#settings.host && !cellPeers.has(holder)) {
                adapters.forEach(adapter => {
                    const use = { host: this.#settings.host, engine, adapter, inUse: true };
                    this.#gossip.reportAdapterUse(holder, use);
                });
            }
        }
    }

    #publishDigest(): HostDigest {
        const now = this.#now();
        const crashes = toPublished(this.#upstreams.crashes.report(now));
        const limits = this.#rateLimiting.limiter.ownVotes(now).slice(0, MAXIMUM_LIMITS_PER_DIGEST);
        const { isPartitioned } = this.#partitionWatch;
        const digest: HostDigest = {
            type: "digest",
            host: this.#settings.host,
            ...this.#agreement.nextStatement(),
            zone: this.#settings.zone,
            addresses: this.#addresses(),
            configurationVersion: this.#table?.version ?? 0,
            storeRevision: this.#mirror.revision ?? 0,
            feeds: this.#mirror.isWatchAnswered && this.#reachability.reachable,
            ready: this.#isReady(),
            leaving: this.#leaving,
            inFlight: this.#upstreams.loads.allInFlight(),
            // A partitioned host tells nothing of single upstreams.
            unreachable: isPartitioned ? [] : this.#upstreams.unreachableReports.reportedBy(this.#settings.host, now),
            hearsUpstreams: this.#partitionWatch.isHearing,
            ...isPartitioned ? { partitioned: true } : {},
            build: this.#build,
            leavingRuns: this.#upstreams.leavingIncarnations().map(toLeavingIncarnation),
            ...limits.length === 0 ? {} : { limits },
            adaptersInUse: this.#adapterUse.all(),
            ...this.#demand.hostDemand(now),
            engines: this.#orders.records().map(toMemory),
            relinquished: this.#duties.relinquishments(now),
            suspects: [],
            ...crashes === undefined ? {} : { crashes },
        };
        this.#gossip.publishDigest(digest);
        return digest;
    }

    /** Returns a peer with a newer configuration, or the seeds while no upstreams are known. */
    #catchUpSources(): readonly string[] {
        const newer = this.#peers.withNewerConfiguration(this.#table?.version ?? 0, this.#now());
        if (newer !== undefined) {
            return [newer.addresses.state];
        }
        const otherCellsSource = this.#interCellGossip.newerConfigurationAddress(this.#table?.version ?? 0);
        if (otherCellsSource !== undefined && !this.#reachability.reachable) {
            return [otherCellsSource];
        }
        return !this.#upstreamsKnown && !this.#reachability.reachable ? this.#settings.seeds : [];
    }

    #applyPeerEntries(entries: readonly KeyValueEntry[], source: string): void {
        const { keys } = this.#options.protocol;
        this.#options.logger.info("state taken from a peer", { source, entries: entries.length });
        for (const entry of entries) {
            if (entry.key === keys.configuration) {
                this.#applyConfiguration(entry);
            }
            else if (!this.#upstreamsKnown) {
                this.#entries.put(entry);
            }
        }
        const namesUpstreams = entries.some(({ key }) => key.startsWith(keys.upstreamPrefix));
        this.#upstreamsKnown ||= this.#table !== undefined && namesUpstreams;
    }

    #refreshGauges(): void {
        const { metrics } = this.#options;
        metrics.gauge("configuration_version", this.#table?.version ?? 0);
        metrics.gauge("store_silence_seconds", this.#reachability.secondsSinceAnswer());
        metrics.gauge("upstreams", this.#upstreams.view.all().length);
        metrics.gauge("limited_upstreams", this.#upstreams.limits.countInForce());
        metrics.gauge("requests_open", this.#forwarder.openRequestCount);
        metrics.gauge("peers_heard", this.#peers.withRecentDigest(this.#now()).length);
        const builds = this.#peers.countBuilds(this.#now());
        metrics.gaugeByLabel("hosts_by_build", builds.set(this.#build, (builds.get(this.#build) ?? 0) + 1));
        metrics.gauge("prompt_bound_tokens", this.#upstreams.backlog.limitTokens);
        metrics.gauge("read_tokens_per_millisecond", this.#demand.prefillTokensPerMillisecond ?? 0);
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
