/**
 * A small site for tests: the store's stand-in, upstreams, and entry hosts in this process.
 *
 * @module
 */
import assert from "node:assert/strict";
import { request as sendRequest } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { decodeConfiguration } from "../../platform/configurationCodec.js";
import { createEngineControl } from "../../platform/engineControl.js";
import { HEADERS, KEYS } from "../../platform/names.js";
import { SMALL_CALLS } from "../../platform/smallCalls.js";
import { createStoreClient } from "../../platform/storeClient.js";
import { decodeUpstream } from "../../platform/upstreamCodec.js";
import { type EntryHost, type EntrySettings, startEntryHost } from "../../src/entry/index.js";
import { createEntryMetrics } from "../../src/observability/index.js";
import { findFreePorts } from "../../standins/freePorts.js";
import { PlatformStoreStandIn } from "../../standins/platform/store.js";
import { PlatformUpstreamStandIn, type UpstreamOptions } from "../../standins/platform/upstream.js";
import { collectLines, type LoggedLine } from "./collectedLines.js";

export const HOST_NAME = "site.example";

/** An answer as its caller got it. */
export interface CallerAnswer {
    /** `undefined` where the connection ended without a whole answer. */
    readonly status: number | undefined;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly body: string;
    readonly whole: boolean;
    readonly tookMilliseconds: number;
}

/** What a caller sends. */
export interface CallerRequest {
    readonly path: string;
    readonly method?: string;
    readonly id?: string;
    readonly body?: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly hostName?: string;
    /** Leaves after this time. */
    readonly leaveAfterMilliseconds?: number;
}

/** Where a host stands, and what it is told of others. */
export interface HostOptions {
    readonly zone?: string;
    /** State addresses of other hosts. */
    readonly seeds?: readonly string[];
    /** Where the host reaches the store, if not at the store's own address. */
    readonly storeAddress?: string;
}

/** An entry host of the site. */
export interface SiteHost {
    readonly name: string;
    readonly settings: EntrySettings;
    readonly host: EntryHost;
    readonly lines: LoggedLine[];
}

let identifiers = 0;

/** Sends a request to a host as a caller does. */
export function callHost(
    site: { readonly settings: Pick<EntrySettings, "callers">; },
    request: CallerRequest,
): Promise<CallerAnswer> {
    identifiers += 1;
    const startedAt = performance.now();
    const { callers } = site.settings;
    return new Promise(resolve => {
        const finish = (
            status: number | undefined,
            headers: CallerAnswer["headers"],
            body: string,
            whole: boolean,
        ): void => resolve({ status, headers, body, whole, tookMilliseconds: performance.now() - startedAt });
        const sent = sendRequest({
            host: callers.address,
            port: callers.port,
            agent: false,
            method: request.method ?? "GET",
            path: request.path,
            headers: {
                "Host": request.hostName ?? HOST_NAME,
                "Flamingospread-Request-Id": request.id ?? `request-${identifiers}`,
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
        sent.on("error", () => finish(undefined, {}, "", false));
        sent.end(request.body);
        if (request.leaveAfterMilliseconds !== undefined) {
            setTimeout(() => sent.destroy(), request.leaveAfterMilliseconds);
        }
    });
}

/** Asks a host for a stream of an adapter of the model `quotes`. */
export function askForAdapter(host: Pick<SiteHost, "settings">, adapter: string): Promise<CallerAnswer> {
    return callHost(host, { path: "/llm/1", method: "POST", headers: { "Flamingospread-Model": `quotes/${adapter}` } });
}

/** Counts a host's log lines with a message. */
export function countLines({ lines }: SiteHost, message: string): number {
    return lines.filter(line => line.message === message).length;
}

/** What engines of a test's site have room for, as the operator writes it. */
export interface EngineSettings extends Readonly<Record<string, unknown>> {
    readonly adapterSlots: number;
}

/** Gives what engines have room for, and the models that they may load, with how many adapters each. */
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

/** Gives why a host refused a request, by the body of its answer. */
export function reasonOf(answer: CallerAnswer): unknown {
    return (JSON.parse(answer.body) as { readonly reason?: unknown; }).reason;
}

/** Gives what a host's own answer says of whether the request ran. */
export function ranOf(answer: CallerAnswer): unknown {
    return (JSON.parse(answer.body) as { readonly ran?: unknown; }).ran;
}

/** A site that is taken down with `close`. */
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

    /** Writes a configuration: routes by prefix, the model engines' service beside the plain one. */
    configure(routes: readonly Readonly<Record<string, unknown>>[], engine?: Readonly<Record<string, unknown>>): void {
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
        };
        this.store.put(KEYS.configuration, this.#configuration);
    }

    get version(): number {
        return this.#version;
    }

    /** Starts an upstream and announces it. */
    async addUpstream(
        options: UpstreamOptions,
        service = "plain",
        overrides: Readonly<Record<string, unknown>> = {},
    ): Promise<PlatformUpstreamStandIn> {
        const upstream = await PlatformUpstreamStandIn.start(options);
        this.upstreams.push(upstream);
        this.announce(upstream, service, overrides);
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
        return this.startHost(await this.freeSettings(name, options), options.storeAddress);
    }

    /** Gives settings of a host with addresses that nothing listens on. */
    async freeSettings(name: string, options: HostOptions = {}): Promise<EntrySettings> {
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
                longestKeepSeconds: 5,
            },
        };
    }

    async startHost(settings: EntrySettings, storeAddress = this.store.address): Promise<SiteHost> {
        const lines: LoggedLine[] = [];
        const host = await startEntryHost({
            settings,
            protocol: { headers: HEADERS, keys: KEYS, calls: SMALL_CALLS, decodeConfiguration, decodeUpstream },
            keyValue: createStoreClient(storeAddress, () => undefined),
            control: createEngineControl(),
            logger: collectLines(lines),
            metrics: createEntryMetrics(),
            random: Math.random,
            readClocks: () => ({ steadyMilliseconds: performance.now(), timeOfDayMilliseconds: Date.now() }),
            readProcessorMicroseconds: () => 0,
        });
        const site = { name: settings.host, settings, host, lines };
        this.hosts.push(site);
        return site;
    }

    async close(): Promise<void> {
        this.store.mode = "up";
        await Promise.all(this.hosts.map(({ host }) => host.stop()));
        await Promise.all(this.upstreams.map(upstream => upstream.close()));
        await this.store.close();
    }
}

/** Waits until something holds, looking every few milliseconds. */
export async function until(holds: () => boolean | Promise<boolean>, withinMilliseconds = 3_000): Promise<void> {
    const end = performance.now() + withinMilliseconds;
    while (!await holds()) {
        if (performance.now() > end) {
            throw new Error(`not so within ${withinMilliseconds} ms: ${holds.toString()}`);
        }
        await delay(10);
    }
}

/** Asks a host's small server. */
export async function askSmall(
    address: EntrySettings["callers"],
    path: string,
): Promise<{ readonly status: number; readonly body: string; }> {
    return new Promise((resolve, reject) => {
        const sent = sendRequest({ host: address.address, port: address.port, agent: false, path }, answer => {
            let body = "";
            answer.on("data", (piece: Buffer) => {
                body += piece.toString();
            });
            answer.on("end", () => resolve({ status: answer.statusCode ?? 0, body }));
        });
        sent.on("error", reject);
        sent.end();
    });
}

/** Waits until a host is ready. */
export async function ready(site: SiteHost, withinMilliseconds?: number): Promise<void> {
    await until(async () => (await askSmall(site.settings.readiness, "/ready")).status === 200, withinMilliseconds);
}
