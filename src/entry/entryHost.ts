/**
 * One entry host: wires the mirror of the key-value service, the forwarder, the engines' keepers and the peers.
 *
 * @module
 */
import { type RandomSource } from "../decision/index.js";
import { type ClockReading, EngineDuties } from "../duties/index.js";
import { type UpstreamIncarnation } from "../fleet/index.js";
import { AdapterUse, AdapterUsers, HeldBytes, SharedRetryBudget } from "../forwarding/index.js";
import {
    type AdapterWish,
    engineHolderSchema,
    type EngineMemory,
    type FleetSummary,
    type HostDigest,
    hostRegistrationSchema,
    type PlannedMove,
} from "../generated/gossip.js";
import { type GossipMessage, PeerTable } from "../gossip/index.js";
import { type EntryMetrics, type Logger, TimeSpent } from "../observability/index.js";
import { type EngineRecord, type PlacementMove, splitAdapterName } from "../placement/index.js";
import { type KeyValueEntry, type KeyValueService } from "../platform/index.js";
import { parseJson } from "../platform/parseJson.js";
import { compileRouteTable, type RouteTable } from "../routes/index.js";
import { AdapterRequesters } from "./adapterRequesters.js";
import { EngineOrders, HOLDER_KEY_PREFIX } from "./engineOrders.js";
import { digestMilliseconds, GATHER_MILLISECONDS, renewalMilliseconds } from "./fleetPace.js";
import { FleetPlanner } from "./fleetPlanner.js";
import { createForwarder, type Forwarder } from "./forwarder.js";
import { type ForwardingContext } from "./forwardingContext.js";
import { type AdapterUseReport, HostGossip } from "./hostGossip.js";
import { HostServers, KEEP_SECONDS } from "./hostServers.js";
import { HOST_KEY_PREFIX, HostSession } from "./hostSession.js";
import { InterCellGossip } from "./interCellGossip.js";
import { OutageAgreement } from "./outageAgreement.js";
import { PeerCatchUp } from "./peerCatchUp.js";
import { ServiceReachability } from "./serviceReachability.js";
import { type EntrySettings } from "./settings.js";
import { SiteDemand } from "./siteDemand.js";
import { type EngineControl, type SiteProtocol } from "./siteProtocol.js";
import { StoredEntries } from "./storedEntries.js";
import { type MirrorEvent, StoreMirror } from "./storeMirror.js";
import { RESTORES_KEY, StoreRestores } from "./storeRestores.js";
import { StoreWatchPolicy } from "./storeWatchPolicy.js";
import { UpstreamAgents } from "./upstreamAgents.js";
import { UpstreamTracker } from "./upstreamTracker.js";

/** Some callers keep an answer with addresses for three times as long as it says. */
const LONGEST_KEEP_FACTOR = 3;

/** Kept free at the end of the grace time for the last answers and the exit. */
const EXIT_MARGIN_MILLISECONDS = 400;

/** Time between two looks at whether the last requests of a leaving host have ended. */
const LEAVING_CHECK_MILLISECONDS = 20;

/** A holder gives orders for this long after a renewal that succeeded. */
const HOLDER_CONFIRMED_MILLISECONDS = 1_500;

/** Suspected requests that one digest tells at most. */
const MOST_SUSPECTS_TOLD = 64;

/** Under which name the sum of the other cells is kept beside the digests of peers. */
const REST_OF_FLEET = "(rest of the fleet)";

/** Hosts of a cell that know what is asked of models: the one that speaks for it, and those that follow it. */
const SPEAKERS_WITH_DEMAND = 3;

const MILLISECONDS_PER_SECOND = 1_000;

/** What an entry host is made of. */
export interface EntryHostOptions {
    readonly settings: EntrySettings;
    readonly protocol: SiteProtocol;
    readonly keyValue: KeyValueService;
    readonly control: EngineControl;
    readonly logger: Logger;
    readonly metrics: EntryMetrics;
    readonly random: RandomSource;
    readonly readClocks: () => ClockReading;
    /** Processor time of this process so far, in microseconds. */
    readonly readProcessorMicroseconds: () => number;
}

/** A running entry host. */
export interface EntryHost {
    /** Leaves: advertised no more, serves what still comes, finishes every request, then closes. */
    stop(): Promise<void>;
    /** Closes whatever is open at once, without a word to peers and callers. */
    close(): Promise<void>;
    /** Takes settings that changed while the host runs. */
    reload(settings: EntrySettings): void;
}

class RunningHost implements EntryHost {
    readonly #options: EntryHostOptions;
    #settings: EntrySettings;
    readonly #timeSpent: TimeSpent;
    readonly #upstreams: UpstreamTracker;
    readonly #demand = new SiteDemand();
    readonly #adapterUsers = new AdapterUsers();
    readonly #adapterUse = new AdapterUse();
    readonly #budget: SharedRetryBudget;
    readonly #peers: PeerTable;
    readonly #gossip: HostGossip;
    readonly #cells: InterCellGossip;
    readonly #wishers = new AdapterRequesters();
    readonly #duties: EngineDuties;
    readonly #agreement: OutageAgreement;
    readonly #contact: ServiceReachability;
    readonly #entries: StoredEntries;
    readonly #feed = new StoreWatchPolicy();
    readonly #mirror: StoreMirror;
    readonly #restores: StoreRestores;
    readonly #session: HostSession;
    readonly #planner: FleetPlanner;
    readonly #orders: EngineOrders;
    readonly #catchUp: PeerCatchUp;
    readonly #forwarder: Forwarder;
    readonly #agents = new UpstreamAgents();
    readonly #servers: HostServers;
    #table: RouteTable | undefined;
    /** True once the upstreams are known, from the key-value service or from a peer. */
    #listed = false;
    #sessionBegun = false;
    #leaving = false;
    /** Set while the host leaves and takes no further requests. */
    #closedToCallers = false;
    #closed = false;
    #digestTimer: NodeJS.Timeout | undefined;

    constructor(options: EntryHostOptions) {
        this.#options = options;
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
            needDemand: () => this.#needDemand(),
            onMessage: message => this.#takeGossip(message),
        });
        this.#cells = new InterCellGossip({
            host,
            peers: this.#peers,
            gossip: this.#gossip,
            logger,
            metrics,
            readClock: () => this.#now(),
            onOtherCells: rest => this.#takeRest(rest),
        });
        this.#duties = new EngineDuties(host, {
            confirmedMilliseconds: HOLDER_CONFIRMED_MILLISECONDS,
            handoverMilliseconds: bounds.handoverMilliseconds,
        });
        this.#contact = new ServiceReachability({
            logger,
            readClock: () => this.#now(),
            revision: () => this.#mirror.revision,
            onFellSilent: () => this.#sendDigest(),
        });
        this.#agreement = new OutageAgreement({
            host,
            duties: this.#duties,
            readClocks,
            serviceAnswers: () => this.#contact.answers(),
            otherHosts: () => this.#peers.possibleHolders(this.#now()).map(peer => peer.host),
        });
        this.#upstreams = this.#createUpstreams();
        this.#entries = this.#createEntries();
        this.#mirror = new StoreMirror({
            keyValue,
            logger,
            gatherMilliseconds: () => GATHER_MILLISECONDS,
            mustWatch: () => this.#mustWatch(),
            onBatch: batch => this.#gossip.passChanges({ ...batch, changes: [...batch.changes] }),
            onEvent: event => this.#takeMirrorEvent(event),
        });
        this.#restores = this.#createRestores();
        this.#session = this.#createSession();
        this.#planner = this.#createPlanner();
        this.#orders = this.#createOrders();
        this.#catchUp = new PeerCatchUp({
            own: () => this.#addresses().state,
            sources: () => this.#catchUpSources(),
            take: (entries, source) => this.#takePeerState(entries, source),
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
        this.#scheduleDigest();
        logger.info("started", { host });
    }

    reload(settings: EntrySettings): void {
        this.#options.logger.info("settings reloaded", { host: settings.host });
        this.#settings = settings;
    }

    async stop(): Promise<void> {
        if (this.#leaving || this.#closed) {
            return;
        }
        const { logger } = this.#options;
        const startedAt = this.#now();
        this.#leaving = true;
        logger.info("stopping", { open: this.#forwarder.open });
        this.#sendDigest();
        await this.#orders.leave();
        await this.#endSession();
        const keptMilliseconds = KEEP_SECONDS * LONGEST_KEEP_FACTOR * MILLISECONDS_PER_SECOND;
        const finalMilliseconds = this.#settings.bounds.graceMilliseconds - EXIT_MARGIN_MILLISECONDS;
        await this.#until(startedAt + Math.min(keptMilliseconds, finalMilliseconds));
        this.#closedToCallers = true;
        logger.info("closed to callers", { open: this.#forwarder.open });
        this.#servers.closeToCallers();
        while (this.#forwarder.open > 0 && this.#now() < startedAt + finalMilliseconds) {
            await this.#until(this.#now() + LEAVING_CHECK_MILLISECONDS);
        }
        this.#forwarder.abortAll();
        await this.#leavePeers();
        await this.close();
        logger.info("stopped", { tookMilliseconds: Math.round(this.#now() - startedAt) });
    }

    /** Engines that could not be handed over are given up by word to the peers. */
    async #leavePeers(): Promise<void> {
        this.#orders.stop();
        this.#sendDigest();
        await this.#endSession();
    }

    /**
     * While the key-value service does not answer, a holder's session stays; its end might take effect later. A host that
     * holds nothing renews too seldom to know.
     */
    async #endSession(): Promise<void> {
        if (this.#contact.answers() || !this.#duties.mayHold) {
            await this.#session.close();
        }
    }

    async close(): Promise<void> {
        this.#closed = true;
        this.#session.abandon();
        clearTimeout(this.#digestTimer);
        this.#contact.close();
        this.#orders.close();
        await this.#mirror.close();
        await this.#options.keyValue.close();
        this.#gossip.close();
        this.#servers.close();
        this.#agents.close();
    }

    #until(atMilliseconds: number): Promise<void> {
        return new Promise(resolve => setTimeout(resolve, Math.max(0, atMilliseconds - this.#now())));
    }

    #now(): number {
        return this.#options.readClocks().steadyMilliseconds;
    }

    /** Hosts that are known, this one included. */
    #hostCount(): number {
        return this.#peers.all(this.#now()).length + 1;
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
        return this.#table !== undefined && this.#listed && !this.#leaving;
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
            onAnnounced: announcement => this.#orders.observe(announcement),
            onJoined: () => this.#planner.noteEnginesChanged(),
            onChanged: () => this.#forwarder.wake(),
        });
    }

    /** Who reads which entries of the key-value service. */
    #createEntries(): StoredEntries {
        const { keys } = this.#options.protocol;
        return new StoredEntries([
            {
                prefix: keys.configuration,
                put: (_name, entry) => this.#takeConfiguration(entry),
                isOutdated: (entry, before) => this.#isOutdated(entry, before),
            },
            { prefix: RESTORES_KEY, put: (_name, entry) => this.#restores.takeSettled(entry) },
            {
                prefix: keys.upstreamPrefix,
                put: (upstream, entry) => this.#upstreams.take(upstream, entry),
                removed: upstream => this.#upstreams.remove(upstream),
            },
            {
                prefix: HOST_KEY_PREFIX,
                put: (_name, entry) => this.#takeRegistration(entry),
                removed: host => this.#forgetHost(host),
            },
            {
                prefix: HOLDER_KEY_PREFIX,
                put: (engine, entry) => this.#takeHolder(engine, entry),
                removed: engine => this.#duties.setHolder(engine, undefined, this.#now()),
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
                this.#session.beginAnew(reason);
                this.#mirror.listAnew(reason);
            },
            onLaterEntry: entry => this.#takeLaterEntry(entry),
        });
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
            renewalMilliseconds: () => renewalMilliseconds(this.#duties.mayHold),
            recordRevision: () => this.#entries.revisionOf(`${HOST_KEY_PREFIX}${host}`),
            onConfirmed: (session, sentAt) => {
                this.#duties.recordRenewal(session, sentAt);
                this.#duties.setSession(host, session);
            },
            onLost: () => {
                this.#orders.loseSession();
                this.#duties.setSession(host, undefined);
            },
            onContact: succeeded => {
                if (succeeded && !this.#contact.reachable) {
                    this.#mirror.restartWatch("the service answers again");
                }
                this.#noteContact(succeeded);
            },
            onSilence: () => this.#mirror.restartWatch("a call got no answer"),
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
            isDown: engine => this.#upstreams.isDown(engine),
            ownRecord: engine => this.#orders.recordOf(engine),
            requestMove: (holder, move) => this.#askHolder(holder, move),
        });
    }

    /** Those that may plan or speak for the cell, and those that may follow them. */
    #needDemand(): ReadonlySet<string> {
        const candidates = this.#duties.candidates(this.#upstreams.view.all().length);
        const speakers = this.#peers.membersWithRecentDigest(this.#now()).slice(0, SPEAKERS_WITH_DEMAND);
        return new Set([...candidates, ...speakers]);
    }

    #askHolder(holder: string, move: PlacementMove): void {
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
            serviceAnswers: () => this.#contact.answers(),
            hostsWithoutConsent: () => this.#agreement.missing(),
            routeTable: () => this.#table,
            isAdapterUsed: (engine, adapter) => this.#adapterUsers.isUsed(engine, adapter, this.#now()),
            plan: () => this.#planner.tick(),
            notifyPreviousHolder: ({ before, engine, holder }) => {
                const { revision, ...record } = holder;
                this.#gossip.notifyPreviousHolder(before, { engine, revision, holder: record });
            },
            onLaterEntry: entry => this.#takeLaterEntry(entry),
            onRecordChanged: record => this.#spreadNews(record),
        });
    }

    #createForwardingContext(): ForwardingContext {
        const { logger, metrics, protocol, random } = this.#options;
        const { backlog, health, loads, pauses, prompts, residency, suspects, view } = this.#upstreams;
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
            budget: this.#budget,
            suspects,
            prompts,
            backlog,
            heldBytes: new HeldBytes(),
            demand: this.#demand,
            adapterUse: this.#adapterUse,
            routeTable: () => this.#table,
            agentFor: service => {
                const limit = this.#table?.service(service)?.maximumConnections;
                return this.#agents.agentFor(service, limit, this.#hostCount());
            },
            hostCount: () => this.#peers.live(this.#now()).length + 1,
            requestAdapter: (engine, model, adapter) => this.#wishAdapter(engine, model, adapter),
            publishRequestSent: (engine, promptTokens) =>
                this.#gossip.publishRequestSent(
                    engine,
                    promptTokens,
                    peer => loads.usesUpstream(peer, engine, this.#now()),
                ),
            reportAdapterUse: (engine, adapter, inUse) => this.#tellAdapterUse(engine, adapter, inUse),
            recordModelAbsent: (engine, model) => this.#orders.recordModelAbsent(engine, model),
            recordUnreachable: upstream => this.#upstreams.recordUnreachable(upstream),
            recordAnswerHead: (upstream, head) => this.#upstreams.recordAnswerHead(upstream, head),
            isLeaving: () => this.#leaving,
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

    #wishAdapter(engine: string, model: string, adapter: string): boolean {
        const holder = this.#duties.holderOf(engine);
        if (holder === this.#settings.host) {
            return this.#orders.requestAdapter(engine, model, adapter);
        }
        return holder !== undefined && this.#gossip.requestAdapter(holder, { engine, model, adapter });
    }

    #takeMirrorEvent(event: MirrorEvent): void {
        switch (event.type) {
            case "contact":
                this.#noteContact(event.succeeded);
                break;
            case "listed":
                this.#takeListing(event.entries);
                break;
            case "put":
                this.#entries.put(event.entry);
                break;
            case "removed":
                this.#entries.remove(event.key);
        }
    }

    /** A call has shown a later state of a key than the mirror has. */
    #takeLaterEntry(entry: KeyValueEntry): void {
        this.#entries.put(entry);
        this.#mirror.noteLaterRevision(entry.revision, this.#now());
    }

    #mustWatch(): boolean {
        const now = this.#now();
        const situation = {
            host: this.#settings.host,
            members: this.#peers.membersWithRecentDigest(now),
            revision: this.#mirror.revision ?? 0,
        };
        return this.#feed.mustWatch(situation, now);
    }

    #noteContact(succeeded: boolean): void {
        if (!succeeded) {
            this.#upstreams.view.recordServiceFailure(this.#now());
        }
        this.#contact.recordOutcome(succeeded);
    }

    #takeListing(entries: readonly KeyValueEntry[]): void {
        this.#restores.readListing(() => this.#entries.replaceAll(entries));
        this.#listed = true;
        this.#options.logger.info("key-value service listed", {
            entries: entries.length,
            revision: this.#mirror.revision,
            configurationVersion: this.#table?.version,
        });
        if (!this.#sessionBegun) {
            this.#sessionBegun = true;
            this.#restores.noteStart();
            this.#session.start();
        }
    }

    #forgetHost(host: string): void {
        this.#duties.setSession(host, undefined);
        this.#peers.unregister(host, this.#now());
        if (host === this.#settings.host && !this.#leaving) {
            this.#session.recordRemoved();
        }
    }

    /** Tells whether a stored configuration is older than the one before, as one in an older copy of the service may be. */
    #isOutdated(entry: KeyValueEntry, before: KeyValueEntry): boolean {
        const { protocol } = this.#options;
        const versionOf = ({ value }: KeyValueEntry): number | undefined =>
            protocol.decodeConfiguration(value).unwrapOr(undefined)?.version;
        const [version, versionBefore] = [versionOf(entry), versionOf(before)];
        return version !== undefined && versionBefore !== undefined && version < versionBefore;
    }

    #takeConfiguration(entry: KeyValueEntry): void {
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
        this.#forwarder.wake();
    }

    #takeRegistration(entry: KeyValueEntry): void {
        const record = hostRegistrationSchema.safeParse(parseJson(entry.value)).data;
        if (record === undefined) {
            this.#options.logger.warn("host record not readable", { key: entry.key, revision: entry.revision });
            return;
        }
        if (record.host !== this.#settings.host) {
            this.#duties.setSession(record.host, record.session);
        }
        this.#peers.register(record, this.#now());
        this.#budget.setHostCount(this.#hostCount());
    }

    #takeHolder(engine: string, entry: KeyValueEntry): void {
        const record = engineHolderSchema.safeParse(parseJson(entry.value)).data;
        if (record === undefined) {
            this.#options.logger.warn("holder record not readable", { key: entry.key, revision: entry.revision });
            return;
        }
        this.#duties.setHolder(engine, { ...record, revision: entry.revision }, this.#now());
    }

    #takeGossip(message: GossipMessage): void {
        switch (message.type) {
            case "digest":
                this.#takeDigest(message);
                break;
            case "changes":
                this.#mirror.takeBatch(message);
                break;
            case "summary":
                this.#cells.receiveAggregate(message);
                break;
            case "wish":
                this.#takeWish(message);
                break;
            case "holder":
                this.#duties.setHolder(
                    message.engine,
                    { ...message.holder, revision: message.revision },
                    this.#now(),
                );
                break;
            case "news":
                this.#takeMemory(message.engine, this.#now());
                break;
            case "move":
                this.#takeMove(message);
                break;
            case "sent":
                this.#upstreams.loads.startedByPeer(message.engine);
                this.#upstreams.backlog.recordSentByPeer(message.engine, message.promptTokens, this.#now());
                break;
            case "use":
                this.#takeAdapterUse(message);
        }
    }

    /** The host that asks is told what becomes of the engine, whoever this host takes for the planner. */
    #takeMove(move: PlannedMove): void {
        this.#orders.handleMoveRequest(move, move.host);
        const record = this.#orders.recordOf(move.engine);
        if (record !== undefined) {
            this.#gossip.sendEngineMemory(move.host, toMemory(record));
        }
    }

    #takeDigest(digest: HostDigest): void {
        const now = this.#now();
        this.#peers.recordDigest(digest, now);
        this.#cells.receiveDigest(digest);
        this.#feed.recordStatement(digest, now);
        this.#mirror.adjustWatch();
        this.#adapterUsers.replaceUses(digest.host, digest.adaptersInUse, now);
        this.#takeBeliefs(digest.host, digest);
        this.#agreement.receiveStatement(digest);
    }

    /** The other cells count as one further peer. */
    #takeRest(rest: FleetSummary): void {
        rest.hosts.forEach(host => this.#peers.recordListed(host, this.#now()));
        this.#takeBeliefs(REST_OF_FLEET, rest);
    }

    #takeBeliefs(source: string, told: HostDigest | FleetSummary): void {
        const now = this.#now();
        this.#mirror.noteLaterRevision(told.storeRevision, now);
        this.#upstreams.loads.recordPeerRequests(source, told.inFlight, now);
        this.#demand.recordPeerDemand(source, told, now);
        told.unreachable.forEach(upstream => this.#upstreams.unreachableReports.record(upstream, source, now));
        told.leavingRuns.forEach(({ startedAtMilliseconds, upstream }) =>
            this.#upstreams.recordLeavingIncarnation({ id: upstream, startedAtMilliseconds })
        );
        told.relinquished.forEach(word => this.#duties.recordRelinquishment(word, now));
        told.engines.forEach(memory => this.#takeMemory(memory, now));
        told.suspects.forEach(suspect => this.#upstreams.suspects.recordPeerSuspect(suspect, now));
    }

    /** A host that asks for what is there has not heard of it. */
    #takeWish({ adapter, engine, host, model }: AdapterWish): void {
        this.#wishers.record(engine, host, this.#now());
        this.#orders.requestAdapter(engine, model, adapter);
        const record = this.#orders.recordOf(engine);
        const held = record?.models.find(({ name }) => name === model);
        if (record !== undefined && held?.adapters.includes(adapter) === true) {
            this.#gossip.sendEngineMemory(host, toMemory(record));
        }
    }

    /** Adapters that requests use are not dropped, and those used last are dropped last. */
    #takeAdapterUse({ adapter, engine, host, inUse }: AdapterUseReport): void {
        this.#adapterUsers.recordUse(host, { engine, adapter, inUse }, this.#now());
        const name = splitAdapterName(adapter);
        this.#orders.recordAdapterUse(engine, name.model, name.adapter);
    }

    #tellAdapterUse(engine: string, adapter: string, inUse: boolean): void {
        const use = { host: this.#settings.host, engine, adapter, inUse };
        this.#takeAdapterUse(use);
        const holder = this.#duties.holderOf(engine);
        if (holder !== undefined) {
            this.#gossip.reportAdapterUse(holder, use);
        }
    }

    #takeMemory(memory: EngineMemory, nowMilliseconds: number): void {
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

    #spreadNews(record: EngineRecord): void {
        this.#upstreams.residency.applyRecord(record, this.#now());
        this.#forwarder.wake();
        const planner = this.#planner.planner;
        const wishers = this.#wishers.hostsFor(record.engine, this.#now());
        this.#gossip.publishEngineMemory(toMemory(record), planner === undefined ? wishers : [...wishers, planner]);
    }

    #scheduleDigest(): void {
        const cellHosts = this.#peers.division().own.length;
        this.#digestTimer = setTimeout(() => this.#everyDigest(), digestMilliseconds(cellHosts));
    }

    #everyDigest(): void {
        if (this.#closed) {
            return;
        }
        this.#peers.forget(this.#now());
        this.#scheduleDigest();
        this.#upstreams.expire();
        this.#adapterUsers.replaceUses(this.#settings.host, this.#adapterUse.all(), this.#now());
        this.#mirror.adjustWatch();
        this.#cells.publishAggregates(this.#sendDigest());
        this.#repeatAdapterUse();
        this.#timeSpent.report();
        if (!this.#leaving && this.#contact.answers()) {
            void this.#restores.recordSettled();
        }
        void this.#catchUp.run();
    }

    /** Holders in other cells do not hear this host's digests, and datagrams at the begin of a use may be lost. */
    #repeatAdapterUse(): void {
        const mates = new Set(this.#peers.cellPeers().map(({ host }) => host));
        for (const [engine, adapters] of Object.entries(this.#adapterUse.all())) {
            const holder = this.#duties.holderOf(engine);
            if (holder !== undefined && holder !== this.#settings.host && !mates.has(holder)) {
                adapters.forEach(adapter => {
                    const use = { host: this.#settings.host, engine, adapter, inUse: true };
                    this.#gossip.reportAdapterUse(holder, use);
                });
            }
        }
    }

    #sendDigest(): HostDigest {
        const now = this.#now();
        const suspects = this.#upstreams.drainNewSuspects().slice(-MOST_SUSPECTS_TOLD);
        const digest: HostDigest = {
            type: "digest",
            host: this.#settings.host,
            ...this.#agreement.nextStatement(),
            zone: this.#settings.zone,
            addresses: this.#addresses(),
            configurationVersion: this.#table?.version ?? 0,
            storeRevision: this.#mirror.revision ?? 0,
            feeds: this.#mirror.feeds && this.#contact.reachable,
            ready: this.#isReady(),
            leaving: this.#leaving,
            inFlight: this.#upstreams.loads.allInFlight(),
            unreachable: this.#upstreams.unreachableReports.reportedBy(this.#settings.host, now),
            leavingRuns: this.#upstreams.leavingIncarnations().map(toLeavingRun),
            adaptersInUse: this.#adapterUse.all(),
            ...this.#demand.own(now),
            engines: this.#orders.records().map(toMemory),
            relinquished: this.#duties.relinquished(now),
            suspects: suspects.map(({ fingerprint, runs }) => ({ fingerprint, runs: [...runs] })),
        };
        this.#gossip.publishDigest(digest);
        return digest;
    }

    /** A peer that has a newer configuration, or the seeds where nothing is known yet. */
    #catchUpSources(): readonly string[] {
        const newer = this.#peers.withNewerConfiguration(this.#table?.version ?? 0, this.#now());
        if (newer !== undefined) {
            return [newer.addresses.state];
        }
        const elsewhere = this.#cells.newerConfiguration(this.#table?.version ?? 0);
        if (elsewhere !== undefined && !this.#contact.reachable) {
            return [elsewhere];
        }
        return !this.#listed && !this.#contact.reachable ? this.#settings.seeds : [];
    }

    #takePeerState(entries: readonly KeyValueEntry[], source: string): void {
        const { keys } = this.#options.protocol;
        this.#options.logger.info("state taken from a peer", { source, entries: entries.length });
        for (const entry of entries) {
            if (entry.key === keys.configuration) {
                this.#takeConfiguration(entry);
            }
            else if (!this.#listed) {
                this.#entries.put(entry);
            }
        }
        const namesUpstreams = entries.some(({ key }) => key.startsWith(keys.upstreamPrefix));
        this.#listed ||= this.#table !== undefined && namesUpstreams;
    }

    #refreshGauges(): void {
        const { metrics } = this.#options;
        metrics.gauge("configuration_version", this.#table?.version ?? 0);
        metrics.gauge("store_silence_seconds", this.#contact.silenceSeconds());
        metrics.gauge("upstreams", this.#upstreams.view.all().length);
        metrics.gauge("requests_open", this.#forwarder.open);
        metrics.gauge("peers_heard", this.#peers.withRecentDigest(this.#now()).length);
        metrics.gauge("prompt_bound_tokens", this.#upstreams.backlog.boundTokens);
        metrics.gauge("read_tokens_per_millisecond", this.#demand.prefillTokensPerMillisecond ?? 0);
    }
}

function toLeavingRun({ id, startedAtMilliseconds }: UpstreamIncarnation): HostDigest["leavingRuns"][number] {
    return { upstream: id, ...(startedAtMilliseconds === undefined ? {} : { startedAtMilliseconds }) };
}

function toMemory(record: EngineRecord): EngineMemory {
    return {
        engine: record.engine,
        orderCount: record.orderCount,
        models: record.models.map(({ name, adapters }) => ({ name, adapters: [...adapters] })),
        ...(record.startedAtMilliseconds === undefined ? {} : { startedAtMilliseconds: record.startedAtMilliseconds }),
        ...(record.loading === undefined ? {} : { loading: record.loading }),
    };
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
