/**
 * Starts one host: its surfaces, its clients and its tasks.
 *
 * @module
 */
import { setTimeout as delay } from "node:timers/promises";
import { type CallerHandlers, type CallersServer, createRefusal, startCallersServer } from "../callers/index.js";
import { type AddressesAnswer, type Refusal } from "../generated/callers.js";
import { type HostIdentity, type SharedState } from "../generated/peers.js";
import { type Settings } from "../generated/settings.js";
import { createLogger, createMetrics } from "../observability/index.js";
import { createPeerClient, type PeerServer, startPeerServer } from "../peers/index.js";
import { createHostListClient, createKeyValueClient } from "../platform/index.js";
import { createEngineClient, createPlainServiceClient } from "../upstreams/index.js";
import { createClientDirectory } from "./clientDirectory.js";
import { createIdentifier, createIncarnation, processClock } from "./clock.js";
import { type ConfigurationTask, startConfigurationTask } from "./configurationTask.js";
import { type HostContext } from "./context.js";
import { startEnginePoller } from "./enginePoller.js";
import { createHostEvents } from "./events.js";
import { type MembershipTask, startMembershipTask } from "./membershipTask.js";
import { type OrdersTask, startOrdersTask } from "./ordersTask.js";
import { createPoolTasks, type PoolTasks } from "./poolTasks.js";
import { type RequestsTask, startRequestsTask } from "./requestsTask.js";
import { startStateFetch, type StateFetch } from "./stateFetch.js";
import { createTraceLog } from "./traceLog.js";

const OWN_STATE_INTERVAL_MILLISECONDS = 500;
const DRAIN_POLL_MILLISECONDS = 50;
const LEAVING_RETRY_MILLISECONDS = 200;

/** A running host. */
export interface Host {
    readonly callersUrl: string;
    readonly peersUrl: string;
    /** Stops being advertised, serves until kept addresses have run out and every answer is finished, then closes. */
    drain(): Promise<void>;
    /** Resolves once the host has closed, by `drain` or by `close`. */
    readonly closed: Promise<void>;
    /** Closes at once; answers in progress are cut. */
    close(): Promise<void>;
}

interface Tasks {
    readonly configuration: ConfigurationTask;
    readonly membership: MembershipTask;
    readonly requests: RequestsTask;
    readonly orders: OrdersTask;
    readonly pools: PoolTasks;
}

function formatUrl(endpoint: { readonly address: string; readonly port: number; }): string {
    const address = endpoint.address.includes(":") ? `[${endpoint.address}]` : endpoint.address;
    return `http://${address}:${endpoint.port}`;
}

function createContext(settings: Settings): HostContext {
    const incarnation = createIncarnation();
    const logger = createLogger({ level: settings.log.level, fields: { host: settings.host, incarnation } });
    const identity: HostIdentity = {
        host: settings.host,
        incarnation,
        zone: settings.zone,
        region: settings.region,
        callersUrl: formatUrl(settings.callers),
        peersUrl: formatUrl(settings.peers),
    };
    return {
        settings,
        identity,
        clock: processClock,
        random: Math.random,
        logger,
        traces: createTraceLog(logger, settings.log.trace),
        metrics: createMetrics(settings.metrics, settings.host),
        events: createHostEvents(),
        keyValue: createKeyValueClient({ urls: settings.platform.keyValue }),
        hostList: createHostListClient({ url: settings.platform.hostList }),
        peers: createClientDirectory((_name, url) => createPeerClient(url)),
        engines: createClientDirectory((name, url) => createEngineClient({ name, url })),
        plainServices: createPlainServiceClient(),
    };
}

function startTasks(context: HostContext): Tasks {
    const membership = startMembershipTask(context);
    const peersUrlOf = (host: string) => membership.view.allKnown().find(identity => identity.host === host)?.peersUrl;
    const configuration = startConfigurationTask(context, peersUrlOf);
    const requests = startRequestsTask(context);
    const orders = startOrdersTask(context);
    const liveHosts = () => [context.identity, ...membership.view.livePeers()].map(({ host }) => host);
    const pools = createPoolTasks(context, liveHosts);
    return { configuration, membership, requests, orders, pools };
}

class RunningHost implements Host {
    readonly closed: Promise<void>;
    readonly #context: HostContext;
    readonly #tasks: Tasks;
    readonly #callers: CallersServer;
    readonly #peers: PeerServer;
    readonly #timers: NodeJS.Timeout[] = [];
    readonly #poller;
    readonly #stateFetch: StateFetch;
    #leaving = false;
    #takesRequests = true;
    #markClosed: () => void = () => undefined;
    #closing: Promise<void> | undefined;

    constructor(
        context: HostContext,
        parts: { readonly tasks: Tasks; readonly callers: CallersServer; readonly peers: PeerServer; },
    ) {
        this.#context = context;
        this.#tasks = parts.tasks;
        this.#callers = parts.callers;
        this.#peers = parts.peers;
        this.closed = new Promise(resolve => {
            this.#markClosed = resolve;
        });
        const { host } = context.identity;
        this.#poller = startEnginePoller(
            context,
            ({ name, zone }) => this.#tasks.membership.view.pollerOf(name, zone) === host,
        );
        this.#stateFetch = startStateFetch(context, {
            livePeers: () => this.#tasks.membership.view.livePeers(),
            onState: state => this.#takeSharedState(state),
            onDone: () => this.#tellOwnState(),
        });
        this.#timers.push(setInterval(() => this.#tellOwnState(), OWN_STATE_INTERVAL_MILLISECONDS));
        context.events.subscribe(event => {
            if (event.type === "deployment-activated" || event.type === "advertise-changed") {
                this.#tellOwnState();
            }
        });
    }

    get callersUrl(): string {
        return this.#context.identity.callersUrl;
    }

    get peersUrl(): string {
        return this.#context.identity.peersUrl;
    }

    get takesRequests(): boolean {
        return this.#takesRequests;
    }

    async drain(): Promise<void> {
        if (this.#leaving) {
            await this.closed;
            return;
        }
        this.#leaving = true;
        const { settings, logger } = this.#context;
        logger.info("leaving", { openRequests: this.#tasks.requests.openRequests() });
        this.#tasks.membership.leave();
        this.#context.events.publish({ type: "leaving" });
        const startedAt = this.#context.clock();
        await delay(settings.addressKeepMilliseconds);
        this.#takesRequests = false;
        const callersClosed = this.#callers.close();
        while (this.#isBusy() && this.#context.clock() - startedAt < settings.drainMilliseconds) {
            await delay(DRAIN_POLL_MILLISECONDS);
        }
        const remaining = settings.drainMilliseconds - (this.#context.clock() - startedAt);
        await Promise.race([callersClosed, delay(Math.max(0, remaining), undefined, { ref: false })]);
        await this.close();
    }

    close(): Promise<void> {
        this.#closing ??= this.#closeParts();
        return this.#closing;
    }

    #isBusy(): boolean {
        return this.#tasks.requests.openRequests() + this.#tasks.orders.openOrders() > 0;
    }

    /** A host is advertised once it can serve: it knows the deployment, and from a peer where the models are. */
    #isReady(): boolean {
        return this.#tasks.configuration.view.deployment() !== undefined && this.#stateFetch.isDone();
    }

    #takeSharedState(state: SharedState): void {
        const { events } = this.#context;
        state.residency.forEach(digest => events.publish({ type: "residency", digest, origin: "peer" }));
        events.publish({ type: "suspects", digests: state.suspects, origin: "peer" });
    }

    #tellOwnState(): void {
        const { configuration, membership } = this.#tasks;
        const now = this.#context.clock();
        configuration.tellPresence(membership.view.presence(now));
        const state = configuration.view.state(now);
        membership.tellOwnState({ ...state, advertise: state.advertise && this.#isReady() });
    }

    async #closeParts(): Promise<void> {
        const context = this.#context;
        this.#timers.forEach(timer => clearInterval(timer));
        this.#poller.close();
        this.#stateFetch.close();
        const callersClosed = this.#callers.close();
        await this.#tasks.pools.close();
        await this.#tasks.configuration.close();
        this.#tasks.requests.close();
        this.#tasks.orders.close();
        this.#tasks.membership.close();
        this.#callers.abort();
        await callersClosed;
        await this.#peers.close();
        await Promise.all([context.peers.close(), context.engines.close(), context.plainServices.close()]);
        await Promise.all([context.keyValue.close(), context.hostList.close(), context.metrics.close()]);
        context.logger.info("closed");
        context.logger.close();
        this.#markClosed();
    }
}

function createHandlers(
    context: HostContext,
    tasks: Tasks,
    control: { takesRequests(): boolean; drain(): void; },
): CallerHandlers {
    return {
        deployment: () => tasks.configuration.view.deployment(),
        closedFor: () => control.takesRequests() ? undefined : refuseAfterLeaving(),
        submit: (request, sink) => tasks.requests.submit(request, sink),
        order: (order, onOutcome) => tasks.orders.order(order, onOutcome),
        addresses: caller => renderAddresses(context, tasks, caller),
        status: () => renderStatus(context, tasks),
        drain: () => control.drain(),
        createIdentifier,
        refused: refusal => context.metrics.increment(`refusals.${refusal.reason}`),
    };
}

/** A leaving host takes requests until the addresses that callers keep have run out. */
function refuseAfterLeaving(): Refusal {
    return createRefusal("host-leaving", "this host is leaving; ask another address", {
        retryAfterMilliseconds: LEAVING_RETRY_MILLISECONDS,
    });
}

function renderAddresses(
    context: HostContext,
    tasks: Tasks,
    caller: Parameters<CallerHandlers["addresses"]>[0],
): AddressesAnswer {
    const place = {
        ...(caller.zone === undefined ? {} : { zone: caller.zone }),
        ...(caller.region === undefined ? {} : { region: caller.region }),
    };
    const hosts = tasks.membership.view.rankAddresses(place);
    return {
        keepMilliseconds: context.settings.addressKeepMilliseconds,
        addresses: hosts.map(host => ({ url: host.callersUrl, zone: host.zone, ticket: tasks.orders.ticketFor(host) })),
    };
}

function renderStatus(context: HostContext, tasks: Tasks): Readonly<Record<string, unknown>> {
    return {
        identity: context.identity,
        configuration: tasks.configuration.view.state(context.clock()),
        peers: tasks.membership.view.livePeers().map(({ host, zone, incarnation }) => ({ host, zone, incarnation })),
        openRequests: tasks.requests.openRequests(),
        openOrders: tasks.orders.openOrders(),
        pools: tasks.pools.status(),
        process: renderProcess(),
        totals: context.metrics.totals(),
    };
}

function renderProcess(): Readonly<Record<string, number>> {
    const { heapUsed, rss } = process.memoryUsage();
    const { user, system } = process.cpuUsage();
    return { heapBytes: heapUsed, residentBytes: rss, processorMicroseconds: user + system };
}

/**
 * Starts a host.
 *
 * @param settings Checked settings.
 * @returns The running host, once it listens.
 * @throws When an address cannot be listened on.
 *
 * @example
 * ```ts
 * const host = await startHost(settings);
 * process.once("SIGTERM", () => void host.drain());
 * await host.closed;
 * ```
 */
export async function startHost(settings: Settings): Promise<Host> {
    const context = createContext(settings);
    const tasks = startTasks(context);
    const peers = await startPeerServer(settings.peers, {
        takeDigest: digest => tasks.membership.takeDigest(digest),
        sharedState: () => tasks.membership.sharedState(),
        configurationRecord: () => tasks.configuration.view.record(),
        forwardOrder: order => tasks.orders.takeForwarded(order),
        witness: request => tasks.orders.takeWitnessRequest(request),
        wantAdapter: wanted => context.events.publish({ type: "adapter-wanted", wanted, origin: "peer" }),
    });
    const control = { takesRequests: () => host.takesRequests, drain: () => void host.drain() };
    const handlers = createHandlers(context, tasks, control);
    const callers = await startCallersServer(settings.callers, { handlers, limits: settings.limits });
    const host: RunningHost = new RunningHost(context, { tasks, callers, peers });
    context.logger.info("listening", { callers: host.callersUrl, peers: host.peersUrl });
    return host;
}
