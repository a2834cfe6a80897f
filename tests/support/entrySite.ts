/**
 * A small site for tests, all in this process: stand-ins of the key-value service and of upstreams, and entry hosts.
 *
 * @module
 */
import assert from "node:assert/strict";
import { type Agent, request as sendRequest } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { decodeConfiguration } from "../../platform/configurationCodec.js";
import { createEngineControl } from "../../platform/engineControl.js";
import { HEADERS, KEYS } from "../../platform/names.js";
import { SMALL_CALLS } from "../../platform/smallCalls.js";
import { createStoreClient } from "../../platform/storeClient.js";
import { decodeUpstream } from "../../platform/upstreamCodec.js";
import { type EntryHost, type EntrySettings, startEntryHost } from "../../src/entry/index.js";
import { openGossipLink } from "../../src/gossip/index.js";
import { createEntryMetrics } from "../../src/observability/index.js";
import { findFreePorts } from "../../standins/freePorts.js";
import { PlatformStoreStandIn } from "../../standins/platform/store.js";
import { PlatformUpstreamStandIn, type UpstreamOptions } from "../../standins/platform/upstream.js";
import { createCollectingLogger, type LoggedLine } from "./collectedLines.js";

export const HOST_NAME = "site.example";

/** An answer as its caller received it. */
export interface CallerAnswer {
    /** `undefined` if the connection ended before the head of an answer. */
    readonly status: number | undefined;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly body: string;
    /** False if the connection ended within the answer. */
    readonly isComplete: boolean;
    readonly tookMilliseconds: number;
}

/** A request of a caller. */
export interface CallerRequest {
    readonly path: string;
    readonly method?: string;
    readonly id?: string;
    readonly body?: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly hostName?: string;
    /** Keeps connections open; the request has a connection of its own without it. */
    readonly agent?: Agent | undefined;
    /** The caller disconnects after this time. */
    readonly disconnectAfterMilliseconds?: number;
}

/** Zone of a host, and the addresses of other hosts and of the key-value service that it starts with. */
export interface HostOptions {
    readonly zone?: string;
    /** State addresses of other hosts. */
    readonly seeds?: readonly string[];
    /** Address at which the host reaches the key-value service; by default that of the stand-in. */
    readonly storeAddress?: string;
    /** Bounds that differ from those of other hosts. */
    readonly bounds?: Partial<EntrySettings["bounds"]>;
    /** Speed of the host's clock, by which its timers fire early; 1 by default. */
    readonly clockRate?: number;
    /** Opens the host's link to the others, in place of that of this build. */
    readonly openLink?: typeof openGossipLink;
}

/** An entry host of the site. */
export interface SiteHost {
    readonly name: string;
    readonly settings: EntrySettings;
    readonly host: EntryHost;
    readonly lines: LoggedLine[];
}

let requestCount = 0;

/** Sends a request to a host as a caller does. */
export function callHost(
    host: { readonly settings: Pick<EntrySettings, "callers">; },
    request: CallerRequest,
): Promise<CallerAnswer> {
    requestCount += 1;
    const startedAt = performance.now();
    const { callers } = host.settings;
    return new Promise(resolve => {
        const finish = (
            status: number | undefined,
            headers: CallerAnswer["headers"],
            body: string,
            isComplete: boolean,
        ): void => resolve({ status, headers, body, isComplete, tookMilliseconds: performance.now() - startedAt });
        const clientRequest = sendRequest({
            host: callers.address,
            port: callers.port,
            agent: request.agent ?? false,
            method: request.method ?? "GET",
            path: request.path,
            headers: {
                "Host": request.hostName ?? HOST_NAME,
                "Flamingospread-Request-Id": request.id ?? `request-${requestCount}`,
                ...request.headers,
            },
        }, answer => {
            let body = "";
            answer.on("data", (piece: Buffer) => {
                body += piece.toString();
            });
            answer.on("end", () => finish(answer.statusCode, answer.headers, body, answer.complete));
            answer.on("error", () => finish(answer.statusCode, answer.headers, body, false));
        });
        clientRequest.on("error", () => finish(undefined, {}, "", false));
        clientRequest.end(request.body);
        if (request.disconnectAfterMilliseconds !== undefined) {
            setTimeout(() => clientRequest.destroy(), request.disconnectAfterMilliseconds);
        }
    });
}

/** Requests a stream of an adapter of the model `quotes` from a host. */
export function requestAdapter(host: Pick<SiteHost, "settings">, adapter: string): Promise<CallerAnswer> {
    return callHost(host, { path: "/llm/1", method: "POST", headers: { "Flamingospread-Model": `quotes/${adapter}` } });
}

/** Counts a host's log lines with a message. */
export function countLines({ lines }: SiteHost, message: string): number {
    return lines.filter(line => line.message === message).length;
}

/** Capacity of the engines of a test's site, in the format of the configuration. */
export interface EngineSettings extends Readonly<Record<string, unknown>> {
    readonly adapterSlots: number;
}

/** Creates the capacity of engines and the models they may load, with the number of adapters of each model. */
export function engineSettings(
    adapterSlots: number,
    adaptersOfModels: Readonly<Record<string, number>>,
): EngineSettings {
    return {
        slots: 8,
        kvCapacity: 10_000,
        weightsMb: 300,
        adapterSlots,
        loadsPerS: 2,
        models: Object.entries(adaptersOfModels).map(([name, adapters]) => ({
            name,
            weightsMb: 100,
            loadTimeS: 1,
            adapters,
            adapterMb: 1,
        })),
    };
}

/** Returns a host's reason for refusing a request, from the body of its answer. */
export function reasonOf(answer: CallerAnswer): unknown {
    return (JSON.parse(answer.body) as { readonly reason?: unknown; }).reason;
}

/** Returns the field `ran` of a host's refusal: whether the request was executed. */
export function ranOf(answer: CallerAnswer): unknown {
    return (JSON.parse(answer.body) as { readonly ran?: unknown; }).ran;
}

/** A site; `close` stops its hosts and stand-ins. */
export class EntrySite {
    readonly store: PlatformStoreStandIn;
    readonly upstreams: PlatformUpstreamStandIn[] = [];
    readonly hosts: SiteHost[] = [];
    #version = 1;
    #configuration: Readonly<Record<string, unknown>> = {};

    private constructor(store: PlatformStoreStandIn) {
        this.store = store;
    }

    static async start(): Promise<EntrySite> {
        return new EntrySite(await PlatformStoreStandIn.start());
    }

    /**
     * Stores a configuration with the given routes, the plain service and the service of the model engines.
     *
     * @param routes The routes, each with what differs from an idempotent route to the plain service.
     * @param engine The engines of the models' service.
     * @param parts Replaces the other parts of the configuration.
     */
    configure(
        routes: readonly Readonly<Record<string, unknown>>[],
        engine?: Readonly<Record<string, unknown>>,
        parts: Readonly<Record<string, unknown>> = {},
    ): void {
        this.#version += 3;
        this.#configuration = {
            version: this.#version,
            routes: routes.map(route => ({
                name: String(route["pathPrefix"]),
                host: HOST_NAME,
                kind: "idempotent",
                timeoutMs: 2_000,
                targetLatencyMs: 200,
                priority: 0,
                service: "plain",
                maxAttempts: 2,
                sticky: false,
                resumable: false,
                ...route,
            })),
            services: [
                { name: "plain", healthPath: "/healthz", maxConnections: 100, protocol: "h1", tls: false },
                {
                    name: "llm",
                    healthPath: "/healthz",
                    maxConnections: 100,
                    protocol: "h1",
                    tls: false,
                    ...engine && { engine },
                },
            ],
            limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
            ...parts,
        };
        this.store.put(KEYS.configuration, this.#configuration);
    }

    /** The configuration that was stored last. */
    get configuration(): Readonly<Record<string, unknown>> {
        return this.#configuration;
    }

    /** Stores an earlier configuration again. */
    putAgain(configuration: Readonly<Record<string, unknown>>): void {
        this.store.put(KEYS.configuration, configuration);
    }

    get version(): number {
        return this.#version;
    }

    /** Starts an upstream and announces it, as well as each of its later starts. */
    async addUpstream(
        options: UpstreamOptions,
        service = "plain",
        overrides: Readonly<Record<string, unknown>> = {},
    ): Promise<PlatformUpstreamStandIn> {
        const upstream = await PlatformUpstreamStandIn.start(options);
        this.upstreams.push(upstream);
        this.announce(upstream, service, overrides);
        upstream.onRestarted = previousId => {
            if (previousId !== upstream.id) {
                this.store.remove(`${KEYS.upstreamPrefix}${previousId}`);
            }
            this.announce(upstream, service, overrides);
        };
        return upstream;
    }

    announce(
        upstream: PlatformUpstreamStandIn,
        service = "plain",
        overrides: Readonly<Record<string, unknown>> = {},
    ): void {
        this.store.put(`${KEYS.upstreamPrefix}${upstream.id}`, upstream.announcement(service, overrides));
    }

    /** Starts an entry host; `seeds` are state addresses of other hosts. */
    async addHost(name: string, options: HostOptions = {}): Promise<SiteHost> {
        const { clockRate, openLink, storeAddress } = options;
        return this.startHost(await this.createSettings(name, options), storeAddress, clockRate, openLink);
    }

    /** Creates settings of a host with addresses on free ports. */
    async createSettings(name: string, options: HostOptions = {}): Promise<EntrySettings> {
        const ports = await findFreePorts(5);
        const [callers, readiness, directory, state, gossip] = ports.map(port => ({ address: "127.0.0.1", port }));
        assert.ok(callers && readiness && directory && state && gossip);
        return {
            host: name,
            zone: options.zone ?? "zone-a",
            callers,
            readiness,
            directory,
            state,
            gossip,
            metrics: undefined,
            seeds: options.seeds ?? [],
            bounds: {
                graceMilliseconds: 4_000,
                retryWindowMilliseconds: 10_000,
                retryRatio: 0.2,
                retryExtra: 58,
                handoverMilliseconds: 300,
                storeLoadWindowMilliseconds: 5_000,
                storeLoadOverage: 1.1,
                maximumKeepSeconds: 5,
                ...options.bounds,
            },
        };
    }

    async startHost(
        settings: EntrySettings,
        storeAddress = this.store.address,
        clockRate = 1,
        openLink = openGossipLink,
    ): Promise<SiteHost> {
        const lines: LoggedLine[] = [];
        const host = await startEntryHost({
            settings,
            protocol: { headers: HEADERS, keys: KEYS, calls: SMALL_CALLS, decodeConfiguration, decodeUpstream },
            keyValue: createStoreClient(storeAddress, () => undefined),
            control: createEngineControl(),
            logger: createCollectingLogger(lines),
            metrics: createEntryMetrics(),
            random: Math.random,
            readClocks: () => ({
                steadyMilliseconds: performance.now() * clockRate,
                timeOfDayMilliseconds: Date.now(),
            }),
            readProcessorMicroseconds: () => 0,
            readResidentBytes: () => 0,
            openLink,
        });
        const siteHost = { name: settings.host, settings, host, lines };
        this.hosts.push(siteHost);
        return siteHost;
    }

    async close(): Promise<void> {
        this.store.mode = "up";
        await Promise.all(this.hosts.map(({ host }) => host.stop()));
        await Promise.all(this.upstreams.map(upstream => upstream.close()));
        await this.store.close();
    }
}

/** Waits until a condition is true, checking it every few milliseconds. */
export async function until(condition: () => boolean | Promise<boolean>, withinMilliseconds = 3_000): Promise<void> {
    const end = performance.now() + withinMilliseconds;
    while (!await condition()) {
        if (performance.now() > end) {
            throw new Error(`condition not met within ${withinMilliseconds} ms: ${condition.toString()}`);
        }
        await delay(10);
    }
}

/** Sends a GET request to one of a host's auxiliary servers, such as those for readiness and addresses. */
export async function callAuxiliaryServer(
    address: EntrySettings["callers"],
    path: string,
): Promise<{ readonly status: number; readonly body: string; }> {
    return new Promise((resolve, reject) => {
        const clientRequest = sendRequest({ host: address.address, port: address.port, agent: false, path }, answer => {
            let body = "";
            answer.on("data", (piece: Buffer) => {
                body += piece.toString();
            });
            answer.on("end", () => resolve({ status: answer.statusCode ?? 0, body }));
        });
        clientRequest.on("error", reject);
        clientRequest.end();
    });
}

/** Waits until a host is ready. */
export async function waitUntilReady(host: SiteHost, withinMilliseconds?: number): Promise<void> {
    await until(
        async () => (await callAuxiliaryServer(host.settings.readiness, "/ready")).status === 200,
        withinMilliseconds,
    );
}
