/**
 * The HTTP servers of an entry host: callers, readiness, directory, shared state and metrics.
 *
 * @module
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type Duplex } from "node:stream";
import { type SharedState } from "../generated/gossip.js";
import { type AdvertisedHost, selectAddresses } from "../gossip/index.js";
import { type MemoryBudget } from "../memory/index.js";
import { describeThrown, type EntryMetrics, type Logger } from "../observability/index.js";
import { type CallerLimits } from "../routes/index.js";
import { type ReadTimes } from "../staleness/index.js";
import { type Acts } from "./actQueue.js";
import { type AuxiliaryHandler, listen, startAuxiliaryServer } from "./auxiliaryServers.js";
import {
    answerUnreadableRequests,
    type CallerConnection,
    CallerConnections,
    HeaderLimit,
    isValidTarget,
    ParserFeeds,
    renderRawAnswer,
    type RequestHandler,
    type RequestProblem,
} from "./connections/index.js";
import { type EntrySettings, type ListenAddress } from "./settings.js";
import { type AuxiliaryAnswer, type AuxiliaryCalls } from "./siteProtocol.js";
import { STATE_PATH } from "./store/index.js";

/** How long callers may cache a directory answer; short, so that they drop a leaving host early in its grace period. */
export const ADDRESS_KEEP_SECONDS = 1;

const DEFAULT_IDLE_TIMEOUT_MILLISECONDS = 15_000;
const DEFAULT_HEADER_TIMEOUT_MILLISECONDS = 5_000;
const CONNECTION_CHECK_INTERVAL_MILLISECONDS = 500;

/** Reason for refusing what a connection sent ahead, while the memory for requests is taken. */
const NO_ROOM_AHEAD = "no-room-ahead";
const RETRY_SECONDS = "1";

const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;

/** Options of the servers. */
export interface HostServersOptions {
    readonly acts: Acts;
    /** Returns the current settings. */
    readonly settings: () => EntrySettings;
    readonly calls: AuxiliaryCalls;
    readonly logger: Logger;
    readonly memory: MemoryBudget;
    readonly metrics: EntryMetrics;
    readonly handler: RequestHandler;
    readonly reads: Pick<ReadTimes, "readUntilMilliseconds">;
    readonly readClock: () => number;
    /** Returns whether callers may be directed to this host. */
    readonly isReady: () => boolean;
    /** Returns the other hosts that callers may be directed to. */
    readonly advertised: () => readonly AdvertisedHost[];
    /** Returns the state that peers request, such as a host that starts during an outage of the key-value service. */
    readonly sharedState: () => SharedState;
    /** Updates the gauges before they are rendered. */
    readonly refreshGauges: () => void;
    /** Binds an address, once another process that leaves there has freed it. */
    readonly bindWhenFree: <Bound>(address: ListenAddress, bind: () => Promise<Bound>) => Promise<Bound>;
}

/** Starts the servers one after another, and closes those that were started. */
export class HostServers {
    readonly #options: HostServersOptions;
    readonly #servers: Server[] = [];
    readonly #connections: CallerConnections;
    readonly #callerFeeds: ParserFeeds;
    #callers: Server | undefined;
    #headerLimit: HeaderLimit | undefined;
    #isClosed = false;

    constructor(options: HostServersOptions) {
        this.#options = options;
        this.#callerFeeds = new ParserFeeds({
            memory: options.memory,
            onNoRoom: socket => this.#refuseUnparsed(socket),
        });
        this.#connections = new CallerConnections({
            ...options,
            hasUnparsed: socket => this.#callerFeeds.hasUnparsed(socket),
        });
    }

    /** Number of requests whose answer has not yet been sent whole. */
    get openRequestCount(): number {
        return this.#connections.openRequestCount;
    }

    /**
     * Starts all servers. The one for callers comes last: until it listens, the host is not ready, and callers that find
     * its port closed turn to another host at once. No caller waits for the one for metrics.
     *
     * @throws Rejects where an address cannot be used; servers that were started run until `close`.
     */
    async start(): Promise<void> {
        const { callers, directory, metrics, readiness, state } = this.#options.settings();
        const callersServer = this.#createCallersServer();
        this.#callers = callersServer;
        if (metrics !== undefined) {
            this.#startAuxiliary(metrics, url => this.#answerMetrics(url, metrics.path))
                .catch((error: unknown) => this.#reportNoMetrics(error));
        }
        await this.#startAuxiliary(readiness, url => this.#answerReadiness(url));
        await this.#startAuxiliary(directory, url => this.#answerOnCurrentView(url));
        await this.#startAuxiliary(state, url => this.#answerState(url));
        await this.#start(callers, () => listen(callersServer, callers));
    }

    async #start(address: ListenAddress, bind: () => Promise<Server>): Promise<void> {
        const server = await this.#options.bindWhenFree(address, bind);
        if (this.#isClosed) {
            server.close();
            return;
        }
        this.#servers.push(server);
    }

    #startAuxiliary(address: ListenAddress, handler: AuxiliaryHandler): Promise<void> {
        const { memory, metrics } = this.#options;
        const onProblem = (problem: string): void => this.#options.logger.warn("small call failed", { problem });
        return this.#start(address, () => startAuxiliaryServer(address, { handler, onProblem, memory, metrics }));
    }

    #reportNoMetrics(error: unknown): void {
        if (!this.#isClosed) {
            this.#options.logger.error("metrics not served", { detail: describeThrown(error) });
        }
    }

    /** Applies the limits for callers from the configuration. */
    applyLimits(limits: CallerLimits): void {
        this.#connections.setLimits(limits);
        this.#headerLimit?.set(limits.headerBytes);
        if (this.#callers !== undefined) {
            this.#callers.keepAliveTimeout = limits.idleTimeoutMilliseconds;
            this.#callers.headersTimeout = limits.headerTimeoutMilliseconds;
        }
    }

    /** Makes each answer the last one of its connection; requests that wait behind it are refused. */
    refuseWaiting(): void {
        this.#connections.refuseWaiting();
    }

    /** Stops accepting callers' connections; requests in progress continue. */
    closeToCallers(): void {
        this.#callers?.close();
        this.#callers?.closeIdleConnections();
    }

    close(): void {
        this.#isClosed = true;
        for (const server of this.#servers) {
            server.close();
            server.closeAllConnections();
        }
    }

    #createCallersServer(): Server {
        const { acts, logger, metrics } = this.#options;
        const server = createServer({
            keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MILLISECONDS,
            headersTimeout: DEFAULT_HEADER_TIMEOUT_MILLISECONDS,
            requestTimeout: 0,
            // Requests that Node would answer itself are answered in their turn.
            requireHostHeader: false,
            connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MILLISECONDS,
            noDelay: true,
        }, (message, response) => this.#accept(message, response));
        // Node drops fields beyond the limit without an error; their bytes are limited.
        server.maxHeadersCount = 0;
        server.on("connection", (socket: Duplex) => this.#connections.recordAccepted(socket));
        server.on(
            "checkExpectation",
            (message, response) => this.#connections.add(message, response, "unknown-expectation"),
        );
        const headerLimit = new HeaderLimit(server);
        const connectionOf = (socket: Duplex): CallerConnection => this.#connections.of(socket);
        answerUnreadableRequests({ acts, server, headerLimit, connectionOf, logger, metrics });
        this.#headerLimit = headerLimit;
        this.#callerFeeds.attach(server);
        return server;
    }

    /** Refuses what a connection sent ahead and no memory was found for, behind the answers before it. */
    #refuseUnparsed(socket: Duplex): void {
        const { logger, metrics } = this.#options;
        logger.info("request rejected", { reason: NO_ROOM_AHEAD, status: STATUS_UNAVAILABLE });
        metrics.count("refusals", { reason: NO_ROOM_AHEAD });
        const headers = { "Retry-After": RETRY_SECONDS };
        this.#connections.of(socket).endWith(renderRawAnswer({ status: STATUS_UNAVAILABLE, headers }));
    }

    #accept(message: IncomingMessage, response: ServerResponse): void {
        this.#connections.add(message, response, this.#findProblem(message));
    }

    #findProblem(message: IncomingMessage): RequestProblem | undefined {
        if (this.#headerLimit?.accepts(message) === false) {
            return "headers-too-large";
        }
        if (!isValidTarget(message)) {
            return "invalid-target";
        }
        return message.httpVersion === "1.1" && message.headers.host === undefined ? "no-host" : undefined;
    }

    #answerReadiness(url: string): AuxiliaryAnswer | undefined {
        if (!this.#options.calls.isReadinessRequest(url)) {
            return undefined;
        }
        return { status: this.#options.isReady() ? STATUS_OK : STATUS_UNAVAILABLE, body: "" };
    }

    /** Names hosts once what other hosts have said meanwhile was read. */
    #answerOnCurrentView(url: string): Promise<AuxiliaryAnswer | undefined> {
        return new Promise((resolve, reject) => {
            this.#options.acts.runOrEnqueue(() => {
                try {
                    resolve(this.#answerDirectory(url));
                }
                catch (error) {
                    reject(error instanceof Error ? error : new Error(String(error)));
                }
            });
        });
    }

    #answerDirectory(url: string): AuxiliaryAnswer | undefined {
        const { advertised, calls, isReady, metrics, settings } = this.#options;
        const query = calls.parseAddressQuery(url);
        if (query === undefined) {
            return undefined;
        }
        const { bounds, callers, host, zone } = settings();
        const ownAddress = isReady() ? [{ host, zone, address: `${callers.address}:${callers.port}` }] : [];
        const addresses = selectAddresses([...ownAddress, ...advertised()], query.zone);
        metrics.count("address_answers", { outcome: addresses.length === 0 ? "none" : "given" });
        if (addresses.length === 0) {
            return { status: STATUS_UNAVAILABLE, body: "" };
        }
        return calls.renderAddresses(addresses, Math.min(ADDRESS_KEEP_SECONDS, bounds.maximumKeepSeconds));
    }

    #answerState(url: string): AuxiliaryAnswer | undefined {
        return url === STATE_PATH
            ? { status: STATUS_OK, body: JSON.stringify(this.#options.sharedState()) }
            : undefined;
    }

    async #answerMetrics(url: string, path: string): Promise<AuxiliaryAnswer | undefined> {
        this.#options.refreshGauges();
        return url === path ? { status: STATUS_OK, body: await this.#options.metrics.render() } : undefined;
    }
}
