/**
 * Starts one host: its surfaces, its clients and its tasks.
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

const OWN_STATE_INTERVAL_MILLISECONDS = 500;
const DRAIN_POLL_MILLISECONDS = 50;

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
        this.#timers.forEach(timer => clearInterval(timer));
        this.#poller.close();
        this.#stateFetch.close();
        const callersClosed = this.#callers.close();
        await closeTasks(this.#tasks);
        this.#callers.abort();
        await callersClosed;
        await this.#peers.close();
        await closeContext(this.#context);
        this.#markClosed();
    }
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
        takeDigest: digest => tasks.membership.takeDigest(digest),
        sharedState: () => tasks.membership.sharedState(),
        configurationRecord: () => tasks.configuration.view.record(),
        forwardOrder: order => tasks.orders.takeForwarded(order),
        witness: request => tasks.orders.takeWitnessRequest(request),
        wantAdapter: wanted => context.events.publish({ type: "adapter-wanted", wanted, origin: "peer" }),
    });
    const control = { takesRequests: () => host.takesRequests, drain: () => void host.drain() };
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
