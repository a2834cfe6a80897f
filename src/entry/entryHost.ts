/**
 * One entry host: wires the mirror of the key-value service, the forwarder, the engines' keepers and the peers.
 *
 * @module
 */
import { type Agent, createServer, type Server } from "node:http";
import { type RandomSource } from "../decision/index.js";
import { type ClockReading, EngineDuties, OutageConsent } from "../duties/index.js";
import { type UpstreamAnnouncement, type UpstreamChange, UpstreamView } from "../fleet/index.js";
import {
    AdapterUse,
    AdapterUsers,
    CrashSuspects,
    DownReports,
    PromptMemory,
    SharedRetryBudget,
    type SuspectRecord,
    UpstreamHealth,
    UpstreamLoads,
} from "../forwarding/index.js";
import {
    type AdapterUseNotice,
    engineHolderSchema,
    type EngineMemory,
    type HostDigest,
    hostRegistrationSchema,
} from "../generated/gossip.js";
import { type GossipLink, type GossipMessage, openGossipLink, PeerTable, rankAddresses } from "../gossip/index.js";
import { type EntryMetrics, type Logger } from "../observability/index.js";
import { type EngineRecord, ResidencyView } from "../placement/index.js";
import { type KeyValueEntry, type KeyValueService } from "../platform/index.js";
import { parseJson } from "../platform/parseJson.js";
import { compileRouteTable, type RouteTable } from "../routes/index.js";
import { DemandMeter } from "./demandMeter.js";
import { EngineOrders, HOLDER_KEY_PREFIX } from "./engineOrders.js";
import { runOf } from "./exchange.js";
import { fetchState, STATE_PATH } from "./fetchState.js";
import { createForwarder, type Forwarder } from "./forwarder.js";
import { type ForwardingContext } from "./forwardingContext.js";
import { HOST_KEY_PREFIX, HostSession } from "./hostSession.js";
import { type EntrySettings } from "./settings.js";
import { type EngineControl, type SiteProtocol, type SmallAnswer } from "./siteProtocol.js";
import { listen, startSmallServer } from "./smallServers.js";
import { type MirrorEvent, StoreMirror } from "./storeMirror.js";
import { createUpstreamAgent } from "./upstreamAgent.js";

/** Time between two digests to peers. */
const DIGEST_MILLISECONDS = 400;

/** Callers keep an answer with addresses for this long, so that a leaving host is forgotten early in its grace time. */
const KEEP_SECONDS = 1;

/** Some callers keep an answer with addresses for three times as long as it says. */
const LONGEST_KEEP_FACTOR = 3;

/** Kept free at the end of the grace time for the last answers and the exit. */
const EXIT_MARGIN_MILLISECONDS = 400;

/** A holder gives orders for this long after a renewal that succeeded. */
const HOLDER_CONFIRMED_MILLISECONDS = 1_500;

/** The key-value service counts as answering for this long after it did; renewals come more often. */
const ANSWERS_MILLISECONDS = 700;

/** Demand that a peer told counts for this long. */
const PEER_DEMAND_MILLISECONDS = 2_000;

/** From this many hosts on, notices of single requests stay within a zone. */
const LARGE_FLEET_HOSTS = 16;

/** Connections of one host to an upstream, where a configuration says nothing. */
const DEFAULT_CONNECTIONS = 16;

/** Share of an upstream's connections that the hosts use together. */
const CONNECTION_SHARE = 0.85;

const FEWEST_CONNECTIONS = 4;
const DEFAULT_IDLE_MILLISECONDS = 15_000;
const DEFAULT_HEADER_MILLISECONDS = 5_000;
const CONNECTION_CHECK_MILLISECONDS = 500;
const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;
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
    readonly #view = new UpstreamView();
    readonly #residency = new ResidencyView();
    readonly #loads = new UpstreamLoads();
    readonly #health = new UpstreamHealth();
    readonly #suspects = new CrashSuspects();
    readonly #prompts = new PromptMemory();
    readonly #demand = new DemandMeter();
    readonly #adapterDemand = new DemandMeter();
    readonly #adapterUsers = new AdapterUsers();
    readonly #adapterUse = new AdapterUse();
    readonly #down = new DownReports();
    readonly #budget: SharedRetryBudget;
    readonly #peers: PeerTable;
    readonly #duties: EngineDuties;
    readonly #mirror: StoreMirror;
    readonly #session: HostSession;
    readonly #orders: EngineOrders;
    readonly #forwarder: Forwarder;
    readonly #agents = new Map<string, Agent>();
    readonly #revisions = new Map<string, number>();
    readonly #stored = new Map<string, KeyValueEntry>();
    readonly #peerDemand = new Map<
        string,
        Pick<HostDigest, "demand" | "adapterDemand"> & { readonly atMilliseconds: number; }
    >();
    readonly #newSuspects: SuspectRecord[] = [];
    readonly #servers: Server[] = [];
    #callersServer: Server | undefined;
    #link: GossipLink | undefined;
    #table: RouteTable | undefined;
    #listed = false;
    #sessionBegun = false;
    #leaving = false;
    /** Set while the host leaves and takes no further requests. */
    #closedToCallers = false;
    #closed = false;
    #contactAt = Number.NEGATIVE_INFINITY;
    #storeReachable = true;
    #digestTimer: NodeJS.Timeout | undefined;
    #digestSequence = 0;
    /** Told to peers when the service ceases to answer, so that holders hear of it in time. */
    #silenceTimer: NodeJS.Timeout | undefined;
    readonly #consent = new OutageConsent();
    readonly #heardDigests = new Map<string, number>();
    #fetching = false;

    constructor(options: EntryHostOptions) {
        this.#options = options;
        this.#settings = options.settings;
        const { bounds, host, zone } = options.settings;
        const { keyValue, logger, metrics, readClocks } = options;
        this.#budget = new SharedRetryBudget({
            windowMilliseconds: bounds.retryWindowMilliseconds,
            ratio: bounds.retryRatio,
            extra: bounds.retryExtra,
        });
        this.#peers = new PeerTable(host);
        this.#duties = new EngineDuties(host, {
            confirmedMilliseconds: HOLDER_CONFIRMED_MILLISECONDS,
            handoverMilliseconds: bounds.handoverMilliseconds,
        });
        this.#mirror = new StoreMirror({ keyValue, logger, onEvent: event => this.#takeMirrorEvent(event) });
        this.#session = new HostSession({
            host,
            zone,
            addresses: this.#addresses(),
            keyValue,
            logger,
            readClocks,
            recordRevision: () => this.#revisions.get(`${HOST_KEY_PREFIX}${host}`) ?? 0,
            onConfirmed: (session, sentAt) => {
                this.#duties.confirm(session, sentAt);
                this.#duties.setSession(host, session);
            },
            onLost: () => {
                this.#orders.loseSession();
                this.#duties.setSession(host, undefined);
            },
            onContact: succeeded => {
                if (succeeded && !this.#storeReachable) {
                    this.#mirror.restartWatch("the service answers again");
                }
                this.#noteContact(succeeded);
            },
            onSilence: () => this.#mirror.restartWatch("a call got no answer"),
        });
        this.#orders = new EngineOrders({
            host,
            duties: this.#duties,
            view: this.#view,
            residency: this.#residency,
            keyValue,
            control: options.control,
            logger,
            metrics,
            storeLoads: { windowMilliseconds: bounds.storeLoadWindowMilliseconds, overage: bounds.storeLoadOverage },
            readClocks,
            serviceAnswers: () => this.#serviceAnswers(),
            hostsWithoutConsent: () => this.#consent.missing(this.#consentingHosts(), this.#heldRevisions()),
            routeTable: () => this.#table,
            demand: () => this.#totalDemand("demand", this.#demand),
            adapterDemand: () => this.#totalDemand("adapterDemand", this.#adapterDemand),
            isAdapterUsed: (engine, adapter) => this.#adapterUsers.isUsed(engine, adapter, this.#now()),
            isDown: engine => this.#down.isDown(engine, this.#now()),
            onLaterEntry: entry => {
                this.#takeEntry(entry);
                this.#mirror.noteLaterRevision(entry.revision, this.#now());
            },
            onNews: record => this.#spreadNews(record),
        });
        this.#forwarder = createForwarder(this.#createForwardingContext());
    }

    async start(): Promise<void> {
        const { logger } = this.#options;
        const { host, zone, gossip } = this.#settings;
        logger.info("starting", { host, zone, callers: this.#addresses().callers });
        this.#link = await openGossipLink({
            ...gossip,
            onMessage: message => this.#takeGossip(message),
            onProblem: problem => logger.debug("gossip problem", { problem }),
        });
        await this.#startServers();
        this.#mirror.start();
        this.#orders.start();
        this.#digestTimer = setInterval(() => this.#everyDigest(), DIGEST_MILLISECONDS);
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
        await this.#leaveDuties();
        const keptMilliseconds = KEEP_SECONDS * LONGEST_KEEP_FACTOR * MILLISECONDS_PER_SECOND;
        const finalMilliseconds = this.#settings.bounds.graceMilliseconds - EXIT_MARGIN_MILLISECONDS;
        await this.#until(startedAt + Math.min(keptMilliseconds, finalMilliseconds));
        this.#closedToCallers = true;
        logger.info("closed to callers", { open: this.#forwarder.open });
        this.#callersServer?.close();
        this.#callersServer?.closeIdleConnections();
        while (this.#forwarder.open > 0 && this.#now() < startedAt + finalMilliseconds) {
            await this.#until(this.#now() + 20);
        }
        this.#forwarder.abortAll();
        await this.close();
        logger.info("stopped", { tookMilliseconds: Math.round(this.#now() - startedAt) });
    }

    async #leaveDuties(): Promise<void> {
        await this.#orders.leave();
        await this.#session.close();
    }

    async close(): Promise<void> {
        this.#closed = true;
        this.#session.abandon();
        clearInterval(this.#digestTimer);
        clearTimeout(this.#silenceTimer);
        this.#orders.close();
        await this.#mirror.close();
        await this.#options.keyValue.close();
        this.#link?.close();
        for (const server of this.#servers) {
            server.close();
            server.closeAllConnections();
        }
        for (const agent of this.#agents.values()) {
            agent.destroy();
        }
    }

    #until(atMilliseconds: number): Promise<void> {
        return new Promise(resolve => setTimeout(resolve, Math.max(0, atMilliseconds - this.#now())));
    }

    #now(): number {
        return this.#options.readClocks().steadyMilliseconds;
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

    async #startServers(): Promise<void> {
        const { logger, metrics } = this.#options;
        const { callers, directory, metrics: metricsAddress, readiness, state } = this.#settings;
        const onProblem = (problem: string): void => logger.warn("small call failed", { problem });
        this.#callersServer = createServer({
            keepAliveTimeout: DEFAULT_IDLE_MILLISECONDS,
            headersTimeout: DEFAULT_HEADER_MILLISECONDS,
            requestTimeout: 0,
            connectionsCheckingInterval: CONNECTION_CHECK_MILLISECONDS,
            noDelay: true,
        }, (message, response) => this.#forwarder.handle(message, response));
        this.#servers.push(await listen(this.#callersServer, callers));
        this.#servers.push(await startSmallServer(readiness, url => this.#answerReadiness(url), onProblem));
        this.#servers.push(await startSmallServer(directory, url => this.#answerDirectory(url), onProblem));
        this.#servers.push(await startSmallServer(state, url => this.#answerState(url), onProblem));
        if (metricsAddress !== undefined) {
            const render = async (url: string): Promise<SmallAnswer | undefined> => {
                this.#refreshGauges();
                return url === metricsAddress.path ? { status: STATUS_OK, body: await metrics.render() } : undefined;
            };
            this.#servers.push(await startSmallServer(metricsAddress, render, onProblem));
        }
    }

    #answerReadiness(url: string): SmallAnswer | undefined {
        if (!this.#options.protocol.calls.isReadinessQuestion(url)) {
            return undefined;
        }
        return { status: this.#isReady() ? STATUS_OK : STATUS_UNAVAILABLE, body: "" };
    }

    #answerDirectory(url: string): SmallAnswer | undefined {
        const { metrics, protocol } = this.#options;
        const question = protocol.calls.readAddressQuestion(url);
        if (question === undefined) {
            return undefined;
        }
        const { callers, host, zone } = this.#settings;
        const own = this.#isReady() ? [{ host, zone, address: `${callers.address}:${callers.port}` }] : [];
        const hosts = [...own, ...this.#peers.advertised(this.#now())];
        const addresses = rankAddresses(hosts, question.zone);
        metrics.count("address_answers", { outcome: addresses.length === 0 ? "none" : "given" });
        if (addresses.length === 0) {
            return { status: STATUS_UNAVAILABLE, body: "" };
        }
        const keepSeconds = Math.min(KEEP_SECONDS, this.#settings.bounds.longestKeepSeconds);
        return protocol.calls.renderAddresses(addresses, keepSeconds);
    }

    #answerState(url: string): SmallAnswer | undefined {
        if (url !== STATE_PATH) {
            return undefined;
        }
        const entries = [...this.#stored.values()].map(({ key, value, revision }) => ({ key, value, revision }));
        return { status: STATUS_OK, body: JSON.stringify({ revision: this.#mirror.revision ?? 0, entries }) };
    }

    #createForwardingContext(): ForwardingContext {
        const { logger, metrics, protocol, random } = this.#options;
        return {
            zone: this.#settings.zone,
            headers: protocol.headers,
            logger,
            metrics,
            random,
            readClock: () => this.#now(),
            view: this.#view,
            residency: this.#residency,
            loads: this.#loads,
            health: this.#health,
            budget: this.#budget,
            suspects: this.#suspects,
            prompts: this.#prompts,
            demand: this.#demand,
            adapterDemand: this.#adapterDemand,
            adapterUse: this.#adapterUse,
            routeTable: () => this.#table,
            agentFor: service => this.#agentFor(service),
            wishAdapter: (engine, model, adapter) => this.#wishAdapter(engine, model, adapter),
            tellSent: (engine, promptTokens) => this.#tellSent(engine, promptTokens),
            tellAdapterUse: (engine, adapter, inUse) => this.#tellAdapterUse(engine, adapter, inUse),
            noteModelAbsent: (engine, model) => this.#orders.noteAbsent(engine, model),
            noteUnreachable: upstream => this.#noteUnreachable(upstream),
            noteReached: upstream => this.#down.clear(upstream),
            isLeaving: () => this.#leaving,
            isClosedToCallers: () => this.#closedToCallers,
        };
    }

    #agentFor(service: string): Agent {
        const known = this.#agents.get(service);
        if (known !== undefined) {
            return known;
        }
        const limit = this.#table?.service(service)?.maximumConnections;
        const hosts = this.#peers.all(this.#now()).length + 1;
        const part = limit === undefined ? DEFAULT_CONNECTIONS : Math.floor(limit * CONNECTION_SHARE / hosts);
        const agent = createUpstreamAgent(Math.max(FEWEST_CONNECTIONS, part));
        this.#agents.set(service, agent);
        return agent;
    }

    #wishAdapter(engine: string, model: string, adapter: string): boolean {
        const holder = this.#duties.holderOf(engine);
        if (holder === this.#settings.host) {
            return this.#orders.want(engine, model, adapter);
        }
        const peer = holder === undefined ? undefined : this.#peers.get(holder);
        if (peer === undefined) {
            return false;
        }
        this.#send({ type: "wish", host: this.#settings.host, engine, model, adapter }, [peer.addresses.gossip]);
        return true;
    }

    /** An upstream that takes no connections right after requests were lost on it has crashed. */
    #noteUnreachable(upstream: string): void {
        this.#down.note(upstream, this.#settings.host, this.#now());
        const announcement = this.#view.get(upstream);
        if (announcement !== undefined) {
            this.#takeCrash(announcement);
        }
    }

    #takeCrash(announcement: UpstreamAnnouncement): void {
        const suspects = this.#suspects.noteCrashed(runOf(announcement), this.#now());
        for (const suspect of suspects) {
            this.#options.logger.warn("request suspected of a crash", {
                fingerprint: suspect.fingerprint,
                crashes: suspect.runs.length,
                upstream: announcement.id,
            });
        }
        this.#newSuspects.push(...suspects);
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
                this.#takeEntry(event.entry);
                break;
            case "removed":
                this.#takeRemoval(event.key);
        }
    }

    #noteContact(succeeded: boolean): void {
        const now = this.#now();
        if (succeeded && !this.#closed) {
            this.#contactAt = now;
            clearTimeout(this.#silenceTimer);
            this.#silenceTimer = setTimeout(() => this.#sendDigest(), ANSWERS_MILLISECONDS);
        }
        else {
            this.#view.noteServiceTrouble(now);
        }
        if (succeeded !== this.#storeReachable) {
            this.#storeReachable = succeeded;
            this.#options.logger.warn(succeeded ? "key-value service regained" : "key-value service lost", {
                revision: this.#mirror.revision,
            });
        }
    }

    #takeListing(entries: readonly KeyValueEntry[]): void {
        const present = new Set(entries.map(({ key }) => key));
        for (const key of [...this.#stored.keys()]) {
            if (!present.has(key)) {
                this.#takeRemoval(key);
            }
        }
        entries.forEach(entry => this.#takeEntry(entry));
        this.#listed = true;
        this.#options.logger.info("key-value service listed", {
            entries: entries.length,
            revision: this.#mirror.revision,
            configurationVersion: this.#table?.version,
        });
        if (!this.#sessionBegun) {
            this.#sessionBegun = true;
            this.#session.start();
        }
    }

    #takeEntry(entry: KeyValueEntry): void {
        const { keys } = this.#options.protocol;
        if ((this.#revisions.get(entry.key) ?? -1) >= entry.revision) {
            return;
        }
        this.#revisions.set(entry.key, entry.revision);
        if (entry.key === keys.configuration) {
            this.#stored.set(entry.key, entry);
            this.#takeConfiguration(entry);
        }
        else if (entry.key.startsWith(keys.upstreamPrefix)) {
            this.#stored.set(entry.key, entry);
            this.#takeAnnouncement(entry.key.slice(keys.upstreamPrefix.length), entry);
        }
        else if (entry.key.startsWith(HOST_KEY_PREFIX)) {
            this.#stored.set(entry.key, entry);
            this.#takeRegistration(entry);
        }
        else if (entry.key.startsWith(HOLDER_KEY_PREFIX)) {
            this.#stored.set(entry.key, entry);
            this.#takeHolder(entry);
        }
    }

    #takeRemoval(key: string): void {
        const { keys } = this.#options.protocol;
        this.#stored.delete(key);
        this.#revisions.delete(key);
        if (key.startsWith(keys.upstreamPrefix)) {
            this.#noteChanges(this.#view.remove(key.slice(keys.upstreamPrefix.length), this.#now()));
        }
        else if (key.startsWith(HOST_KEY_PREFIX)) {
            const host = key.slice(HOST_KEY_PREFIX.length);
            this.#duties.setSession(host, undefined);
            this.#peers.unregister(host);
            if (host === this.#settings.host && !this.#leaving) {
                this.#session.recordRemoved();
            }
        }
        else if (key.startsWith(HOLDER_KEY_PREFIX)) {
            this.#duties.setHolder(key.slice(HOLDER_KEY_PREFIX.length), undefined, this.#now());
        }
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
        this.#applyLimits(this.#table);
        this.#forwarder.wake();
    }

    #applyLimits(table: RouteTable): void {
        const { limits } = table.configuration;
        if (this.#callersServer !== undefined) {
            this.#callersServer.keepAliveTimeout = limits.idleTimeoutMilliseconds;
            this.#callersServer.headersTimeout = limits.headerTimeoutMilliseconds;
        }
    }

    #takeAnnouncement(id: string, entry: KeyValueEntry): void {
        const decoded = this.#options.protocol.decodeUpstream(id, entry.value);
        if (decoded.isErr()) {
            this.#options.logger.warn("announcement not readable", {
                upstream: id,
                revision: entry.revision,
                detail: decoded.error.message,
            });
            return;
        }
        const before = this.#view.get(id);
        if (before !== undefined && before.startedAtMilliseconds !== decoded.value.startedAtMilliseconds) {
            this.#takeCrash(before);
        }
        const changes = this.#view.put(decoded.value);
        if (changes.length > 0) {
            this.#residency.takeAnnouncement(decoded.value);
            this.#orders.observe(decoded.value);
        }
        this.#noteChanges(changes);
    }

    #noteChanges(changes: readonly UpstreamChange[]): void {
        for (const change of changes) {
            if (change.type === "left") {
                this.#forget(change.upstream, change.reason);
            }
            if (change.type === "joined") {
                this.#orders.noteEnginesChanged();
            }
            if (change.type !== "updated") {
                this.#options.logger.info(`upstream ${change.type}`, {
                    upstream: change.upstream.id,
                    service: change.upstream.service,
                    address: change.upstream.address,
                    zone: change.upstream.zone,
                    startedAt: change.upstream.startedAtMilliseconds,
                    reason: change.type === "left" ? change.reason : undefined,
                });
                this.#options.metrics.count("upstream_changes", { change: change.type });
            }
        }
        if (changes.length > 0) {
            this.#forwarder.wake();
        }
    }

    #forget(upstream: UpstreamAnnouncement, reason: string): void {
        if (reason !== "announced") {
            this.#takeCrash(upstream);
            this.#residency.forget(upstream.id);
            this.#health.forget(upstream.id);
            this.#prompts.forget(upstream.id);
            this.#down.clear(upstream.id);
        }
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
        this.#budget.setHostCount(this.#peers.all(this.#now()).length + 1);
    }

    #takeHolder(entry: KeyValueEntry): void {
        const record = engineHolderSchema.safeParse(parseJson(entry.value)).data;
        if (record === undefined) {
            this.#options.logger.warn("holder record not readable", { key: entry.key, revision: entry.revision });
            return;
        }
        const engine = entry.key.slice(HOLDER_KEY_PREFIX.length);
        this.#duties.setHolder(engine, { ...record, revision: entry.revision }, this.#now());
    }

    #takeGossip(message: GossipMessage): void {
        this.#options.metrics.count("gossip_datagrams", { direction: "received" });
        switch (message.type) {
            case "digest":
                this.#takeDigest(message);
                break;
            case "wish":
                this.#orders.want(message.engine, message.model, message.adapter);
                break;
            case "news":
                this.#takeMemory(message.engine);
                break;
            case "sent":
                this.#loads.startedByPeer(message.engine, message.promptTokens, this.#now());
                break;
            case "use":
                this.#takeAdapterUse(message);
        }
    }

    #takeDigest(digest: HostDigest): void {
        const now = this.#now();
        this.#peers.hear(digest, now);
        this.#mirror.noteLaterRevision(digest.storeRevision, now);
        this.#loads.takePeer(digest.host, digest.inFlight, now);
        const { adapterDemand, demand } = digest;
        this.#peerDemand.set(digest.host, { adapterDemand, demand, atMilliseconds: now });
        digest.unreachable.forEach(upstream => this.#down.note(upstream, digest.host, now));
        digest.relinquished.forEach(word => this.#duties.takeRelinquishment(word, now));
        this.#adapterUsers.takeAll(digest.host, digest.adaptersInUse, now);
        digest.engines.forEach(memory => this.#takeMemory(memory));
        digest.suspects.forEach(suspect => this.#suspects.takePeer(suspect, now));
        this.#takeStatement(digest);
    }

    /** In an outage the other hosts' consent stands in for the service's word. */
    #takeStatement({ heard, holderRevisions, host, sequence, serviceAnswers }: HostDigest): void {
        this.#heardDigests.set(host, sequence);
        this.#consent.hear({
            host,
            heard: heard[this.#settings.host],
            serviceAnswers,
            holderRevisions: new Map(Object.entries(holderRevisions)),
        });
        if (this.#duties.held().length === 0 || this.#serviceAnswers()) {
            return;
        }
        const agreedAt = this.#consent.agreedAt(this.#consentingHosts(), this.#heldRevisions());
        if (agreedAt !== undefined) {
            this.#duties.confirmByPeers(agreedAt);
        }
    }

    /** All hosts that could take engines over. */
    #consentingHosts(): string[] {
        return this.#peers.active(this.#now()).map(({ host }) => host);
    }

    #heldRevisions(): Map<string, number> {
        return new Map(this.#duties.held().map(({ engine, expectedRevision }) => [engine, expectedRevision]));
    }

    #serviceAnswers(): boolean {
        return this.#now() - this.#contactAt < ANSWERS_MILLISECONDS;
    }

    /** Adapters that requests use are not dropped, and those used last are dropped last. */
    #takeAdapterUse({ adapter, engine, host, inUse }: Omit<AdapterUseNotice, "type">): void {
        this.#adapterUsers.take(host, { engine, adapter, inUse }, this.#now());
        const slash = adapter.indexOf("/");
        this.#orders.noteUse(engine, adapter.slice(0, slash), adapter.slice(slash + 1));
    }

    #tellAdapterUse(engine: string, adapter: string, inUse: boolean): void {
        const use = { host: this.#settings.host, engine, adapter, inUse };
        this.#takeAdapterUse(use);
        const peer = this.#peers.get(this.#duties.holderOf(engine) ?? "");
        if (peer !== undefined) {
            this.#send({ type: "use", ...use }, [peer.addresses.gossip]);
        }
    }

    #takeMemory(memory: EngineMemory): void {
        const record: EngineRecord = {
            engine: memory.engine,
            startedAtMilliseconds: memory.startedAtMilliseconds,
            orderCount: memory.orderCount,
            models: memory.models,
            loading: memory.loading,
        };
        if (this.#view.get(memory.engine) !== undefined && this.#residency.takeRecord(record, this.#now())) {
            this.#forwarder.wake();
        }
    }

    #spreadNews(record: EngineRecord): void {
        this.#residency.takeRecord(record, this.#now());
        this.#forwarder.wake();
        const news = { type: "news" as const, host: this.#settings.host, engine: toMemory(record) };
        this.#send(news, this.#peers.all(this.#now()).map(({ addresses }) => addresses.gossip));
    }

    /** In a large fleet only the hosts of the own zone are told, so that the cost does not grow with the fleet. */
    #tellSent(engine: string, promptTokens: number): void {
        const peers = this.#peers.heard(this.#now());
        const told = peers.length < LARGE_FLEET_HOSTS
            ? peers
            : peers.filter(({ zone }) => zone === this.#settings.zone);
        const notice = { type: "sent" as const, host: this.#settings.host, engine, promptTokens };
        this.#send(notice, told.map(({ addresses }) => addresses.gossip));
    }

    #send(message: GossipMessage, addresses: readonly string[]): void {
        this.#options.metrics.count("gossip_datagrams", { direction: "sent" });
        this.#link?.send(message, addresses);
    }

    /** Adds what peers told lately to this host's own demand. */
    #totalDemand(part: "demand" | "adapterDemand", own: DemandMeter): ReadonlyMap<string, number> {
        const now = this.#now();
        const total = new Map(Object.entries(own.concurrency(now)));
        for (const { atMilliseconds, [part]: demand } of this.#peerDemand.values()) {
            if (now - atMilliseconds < PEER_DEMAND_MILLISECONDS) {
                Object.entries(demand).forEach(([model, rate]) => total.set(model, (total.get(model) ?? 0) + rate));
            }
        }
        return total;
    }

    #everyDigest(): void {
        if (this.#closed) {
            return;
        }
        const now = this.#now();
        this.#noteChanges(this.#view.expire(now));
        this.#adapterUsers.takeAll(this.#settings.host, this.#adapterUse.all(), now);
        this.#suspects.expire(now);
        this.#sendDigest();
        void this.#catchUp();
    }

    #sendDigest(): void {
        const now = this.#now();
        const serviceAnswers = this.#serviceAnswers();
        this.#digestSequence += 1;
        this.#consent.sent(this.#digestSequence, this.#options.readClocks());
        const digest: HostDigest = {
            type: "digest",
            host: this.#settings.host,
            sequence: this.#digestSequence,
            heard: serviceAnswers ? {} : Object.fromEntries(this.#heardDigests),
            serviceAnswers,
            holderRevisions: serviceAnswers ? {} : Object.fromEntries(this.#duties.holderRevisions()),
            zone: this.#settings.zone,
            addresses: this.#addresses(),
            configurationVersion: this.#table?.version ?? 0,
            storeRevision: this.#mirror.revision ?? 0,
            ready: this.#isReady(),
            leaving: this.#leaving,
            inFlight: this.#loads.allInFlight(),
            unreachable: this.#down.reportedBy(this.#settings.host, now),
            adaptersInUse: this.#adapterUse.all(),
            demand: this.#demand.concurrency(now),
            adapterDemand: this.#adapterDemand.concurrency(now),
            engines: this.#orders.records().map(toMemory),
            relinquished: this.#duties.relinquished(now),
            suspects: this.#newSuspects.splice(0).slice(-64).map(({ fingerprint, runs }) => ({
                fingerprint,
                runs: [...runs],
            })),
        };
        this.#send(digest, this.#peers.all(now).map(({ addresses }) => addresses.gossip));
    }

    /** Takes the state of a peer that has a newer configuration, or of a seed where nothing is known yet. */
    async #catchUp(): Promise<void> {
        const now = this.#now();
        const newer = this.#peers.withNewerConfiguration(this.#table?.version ?? 0, now);
        const starved = !this.#listed && !this.#storeReachable;
        const sources = newer !== undefined ? [newer.addresses.state] : starved ? this.#settings.seeds : [];
        const own = this.#addresses().state;
        if (this.#fetching || sources.length === 0) {
            return;
        }
        this.#fetching = true;
        for (const source of sources.filter(source => source !== own)) {
            const state = await fetchState(source);
            if (state !== undefined && state.entries.length > 0) {
                this.#takePeerState(state.entries, source);
                break;
            }
        }
        this.#fetching = false;
    }

    #takePeerState(entries: readonly KeyValueEntry[], source: string): void {
        const { keys } = this.#options.protocol;
        this.#options.logger.info("state taken from a peer", { source, entries: entries.length });
        for (const entry of entries) {
            if (entry.key === keys.configuration) {
                this.#takeConfiguration(entry);
            }
            else if (!this.#listed) {
                this.#takeEntry(entry);
            }
        }
        if (
            this.#table !== undefined && !this.#listed && entries.some(({ key }) => key.startsWith(keys.upstreamPrefix))
        ) {
            this.#listed = true;
        }
    }

    #refreshGauges(): void {
        const { metrics } = this.#options;
        const now = this.#now();
        metrics.gauge("configuration_version", this.#table?.version ?? 0);
        metrics.gauge("store_silence_seconds", Math.max(0, (now - this.#contactAt) / MILLISECONDS_PER_SECOND));
        metrics.gauge("upstreams", this.#view.all().length);
        metrics.gauge("requests_open", this.#forwarder.open);
        metrics.gauge("peers_heard", this.#peers.heard(now).length);
    }
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
