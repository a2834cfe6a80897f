/**
 * The addresses that an entry host listens on: callers', readiness, directory, shared state, metrics.
 *
 * @module
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type SharedState } from "../generated/gossip.js";
import { type AdvertisedHost, rankAddresses } from "../gossip/index.js";
import { type EntryMetrics, type Logger } from "../observability/index.js";
import { type CallerLimits } from "../routes/index.js";
import { STATE_PATH } from "./fetchState.js";
import { type EntrySettings } from "./settings.js";
import { type SmallAnswer, type SmallCalls } from "./siteProtocol.js";
import { listen, startSmallServer } from "./smallServers.js";

/** Callers keep an answer with addresses for this long, so that a leaving host is forgotten early in its grace time. */
export const KEEP_SECONDS = 1;

const DEFAULT_IDLE_MILLISECONDS = 15_000;
const DEFAULT_HEADER_MILLISECONDS = 5_000;
const CONNECTION_CHECK_MILLISECONDS = 500;
const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;

/** Options of the servers. */
export interface HostServersOptions {
    /** The settings in force. */
    readonly settings: () => EntrySettings;
    readonly calls: SmallCalls;
    readonly logger: Logger;
    readonly metrics: EntryMetrics;
    readonly forward: (message: IncomingMessage, response: ServerResponse) => void;
    /** True while callers may be sent to this host. */
    readonly isReady: () => boolean;
    /** The other hosts that callers may be sent to. */
    readonly advertised: () => readonly AdvertisedHost[];
    /** What a host that starts in an outage of the key-value service learns from this one. */
    readonly sharedState: () => SharedState;
    /** Brings gauges up to date before they are read. */
    readonly refreshGauges: () => void;
}

/** Opens the addresses one after another, and closes those that are open. */
export class HostServers {
    readonly #options: HostServersOptions;
    readonly #servers: Server[] = [];
    #callers: Server | undefined;

    constructor(options: HostServersOptions) {
        this.#options = options;
    }

    /**
     * Opens all addresses.
     *
     * @throws Rejects where one cannot be used; those that are open stay so until `close`.
     */
    async start(): Promise<void> {
        const { logger, settings } = this.#options;
        const { callers, directory, metrics, readiness, state } = settings();
        const onProblem = (problem: string): void => logger.warn("small call failed", { problem });
        this.#callers = createServer({
            keepAliveTimeout: DEFAULT_IDLE_MILLISECONDS,
            headersTimeout: DEFAULT_HEADER_MILLISECONDS,
            requestTimeout: 0,
            connectionsCheckingInterval: CONNECTION_CHECK_MILLISECONDS,
            noDelay: true,
        }, this.#options.forward);
        this.#servers.push(await listen(this.#callers, callers));
        this.#servers.push(await startSmallServer(readiness, url => this.#answerReadiness(url), onProblem));
        this.#servers.push(await startSmallServer(directory, url => this.#answerDirectory(url), onProblem));
        this.#servers.push(await startSmallServer(state, url => this.#answerState(url), onProblem));
        if (metrics !== undefined) {
            const render = (url: string): Promise<SmallAnswer | undefined> => this.#answerMetrics(url, metrics.path);
            this.#servers.push(await startSmallServer(metrics, render, onProblem));
        }
    }

    /** Takes the operators' limits on callers. */
    applyLimits(limits: CallerLimits): void {
        if (this.#callers !== undefined) {
            this.#callers.keepAliveTimeout = limits.idleTimeoutMilliseconds;
            this.#callers.headersTimeout = limits.headerTimeoutMilliseconds;
        }
    }

    /** Takes no further connections of callers; requests that run go on. */
    closeToCallers(): void {
        this.#callers?.close();
        this.#callers?.closeIdleConnections();
    }

    close(): void {
        for (const server of this.#servers) {
            server.close();
            server.closeAllConnections();
        }
    }

    #answerReadiness(url: string): SmallAnswer | undefined {
        if (!this.#options.calls.isReadinessQuestion(url)) {
            return undefined;
        }
        return { status: this.#options.isReady() ? STATUS_OK : STATUS_UNAVAILABLE, body: "" };
    }

    #answerDirectory(url: string): SmallAnswer | undefined {
        const { advertised, calls, isReady, metrics, settings } = this.#options;
        const question = calls.readAddressQuestion(url);
        if (question === undefined) {
            return undefined;
        }
        const { bounds, callers, host, zone } = settings();
        const own = isReady() ? [{ host, zone, address: `${callers.address}:${callers.port}` }] : [];
        const addresses = rankAddresses([...own, ...advertised()], question.zone);
        metrics.count("address_answers", { outcome: addresses.length === 0 ? "none" : "given" });
        if (addresses.length === 0) {
            return { status: STATUS_UNAVAILABLE, body: "" };
        }
        return calls.renderAddresses(addresses, Math.min(KEEP_SECONDS, bounds.longestKeepSeconds));
    }

    #answerState(url: string): SmallAnswer | undefined {
        return url === STATE_PATH
            ? { status: STATUS_OK, body: JSON.stringify(this.#options.sharedState()) }
            : undefined;
    }

    async #answerMetrics(url: string, path: string): Promise<SmallAnswer | undefined> {
        this.#options.refreshGauges();
        return url === path ? { status: STATUS_OK, body: await this.#options.metrics.render() } : undefined;
    }
}
