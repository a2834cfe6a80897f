/**
 * Starts one host: its servers for callers and peers, its clients and its tasks.
 *
 * @module
 */
import { setTimeout as delay } from "node:timers/promises";
import { type CallersServer, startCallersServer } from "../callers/index.js";
import { type SharedState } from "../generated/peers.js";
import { type Settings } from "../generated/settings.js";
import { type PeerServer, startPeerServer } from "../peers/index.js";
import { createCallerHandlers } from "./callerHandlers.js";
import { type HostContext } from "./context.js";
import { closeContext, createContext } from "./createContext.js";
import { startEnginePoller } from "./enginePoller.js";
import { startStateFetch, type StateFetch } from "./stateFetch.js";
import { closeTasks, startTasks, type Tasks } from "./tasks.js";

const STATE_EXCHANGE_INTERVAL_MILLISECONDS = 500;
const DRAIN_POLL_INTERVAL_MILLISECONDS = 50;

/** A running host. */
export interface Host {
    readonly callersUrl: string;
    readonly peersUrl: string;
    /**
     * Withdraws the host from the addresses for callers, serves until the addresses that callers keep have expired and
     * all answers are finished, then closes.
     */
    drain(): Promise<void>;
    /** Resolves once the host has closed, by `drain` or by `close`. */
    readonly closed: Promise<void>;
    /** Closes at once and aborts answers in progress. */
    close(): Promise<void>;
}

class RunningHost implements Host {
    readonly closed: Promise<void>;
    readonly #context: HostContext;
    readonly #tasks: Tasks;
    readonly #callers: CallersServer;
    readonly #peers: PeerServer;
    readonly #timers: NodeJS.Timeout[] = [];
    readonly #enginePoller;
    readonly #stateFetch: StateFetch;
    #leaving = false;
    #acceptsRequests = true;
    #resolveClosed: () => void = () => undefined;
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
            this.#resolveClosed = resolve;
        });
        const { host } = context.identity;
        this.#enginePoller = startEnginePoller(
            context,
            ({ name, zone }) => this.#tasks.membership.view.pollerOf(name, zone) === host,
        );
        this.#stateFetch = startStateFetch(context, {
            livePeers: () => this.#tasks.membership.view.livePeers(),
            onState: state => this.#applySharedState(state),
            onDone: () => this.#exchangeTaskState(),
        });
        this.#timers.push(setInterval(() => this.#exchangeTaskState(), STATE_EXCHANGE_INTERVAL_MILLISECONDS));
        context.events.subscribe(event => {
            if (event.type === "deployment-activated" || event.type === "advertise-changed") {
                this.#exchangeTaskState();
            }
        });
    }

    get callersUrl(): string {
        return this.#context.identity.callersUrl;
    }

    get peersUrl(): string {
        return this.#context.identity.peersUrl;
    }

    get acceptsRequests(): boolean {
        return this.#acceptsRequests;
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
        this.#acceptsRequests = false;
        const callersClosed = this.#callers.close();
        while (this.#hasOpenWork() && this.#context.clock() - startedAt < settings.drainMilliseconds) {
            await delay(DRAIN_POLL_INTERVAL_MILLISECONDS);
        }
        const remaining = settings.drainMilliseconds - (this.#context.clock() - startedAt);
        await Promise.race([callersClosed, delay(Math.max(0, remaining), undefined, { ref: false })]);
        await this.close();
    }

    close(): Promise<void> {
        this.#closing ??= this.#closeParts();
        return this.#closing;
    }

    #hasOpenWork(): boolean {
        return this.#tasks.requests.openRequests() + this.#tasks.orders.openOrders() > 0;
    }

    /** Returns whether the host has a deployment and has fetched from a peer where models are resident. */
    #isReadyToAdvertise(): boolean {
        return this.#tasks.configuration.view.deployment() !== undefined && this.#stateFetch.isDone();
    }

    #applySharedState(state: SharedState): void {
        const { events } = this.#context;
        state.residency.forEach(digest => events.publish({ type: "residency", digest, origin: "peer" }));
        events.publish({ type: "suspects", digests: state.suspects, origin: "peer" });
    }

    /** Passes live peers to the configuration task, and the configuration state to heartbeats. */
    #exchangeTaskState(): void {
        const { configuration, membership } = this.#tasks;
        const now = this.#context.clock();
        configuration.updatePresence(membership.view.presence(now));
        const state = configuration.view.heartbeatState(now);
        membership.updateConfigurationState({ ...state, advertise: state.advertise && this.#isReadyToAdvertise() });
    }

    async #closeParts(): Promise<void> {
        this.#timers.forEach(timer => clearInterval(timer));
        this.#enginePoller.close();
        this.#stateFetch.close();
        const callersClosed = this.#callers.close();
        await closeTasks(this.#tasks);
        this.#callers.abort();
        await callersClosed;
        await this.#peers.close();
        await closeContext(this.#context);
        this.#resolveClosed();
    }
}

/**
 * Starts a host.
 *
 * @param settings Validated settings.
 * @returns The running host, once its servers listen.
 * @throws Where a server cannot listen on its address.
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
    try {
        return await listen(context, tasks);
    }
    catch (error) {
        await closeTasks(tasks);
        await closeContext(context);
        throw error;
    }
}

async function listen(context: HostContext, tasks: Tasks): Promise<Host> {
    const { settings } = context;
    const peers = await startPeerServer(settings.peers, {
        receiveDigest: digest => tasks.membership.receiveDigest(digest),
        sharedState: () => tasks.membership.sharedState(),
        configurationRecord: () => tasks.configuration.view.record(),
        forwardOrder: order => tasks.orders.handleForwardedOrder(order),
        witness: request => tasks.orders.handleWitnessRequest(request),
        requestAdapter: adapterRequest =>
            context.events.publish({ type: "adapter-wanted", adapterRequest, origin: "peer" }),
    });
    const control = { acceptsRequests: () => host.acceptsRequests, drain: () => void host.drain() };
    const handlers = createCallerHandlers(context, { tasks, control });
    const callers = await startCallersServer(settings.callers, { handlers, limits: settings.limits }).catch(
        async (error: unknown) => {
            await peers.close();
            throw error;
        },
    );
    const host: RunningHost = new RunningHost(context, { tasks, callers, peers });
    context.logger.info("listening", { callers: host.callersUrl, peers: host.peersUrl });
    return host;
}
