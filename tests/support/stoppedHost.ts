/**
 * One host as a process that does not run for a while, with the store and the engines that it serves in this process.
 *
 * @module
 */
import { type ChildProcess } from "node:child_process";
import { type Agent, createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type AddressInfo } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { PlatformStoreStandIn } from "../../standins/platform/store.js";
import { bundleProgram, NODE_OPTIONS } from "./bundledProgram.js";
import {
    createEntrySettings,
    type EntryProgram,
    type EntryProgramSettings,
    startEntryProgram,
    waitUntilProgramReady,
} from "./entryProgram.js";
import { callHost } from "./entrySite.js";

const HEALTH_PATH = "/healthz";
const DEADLINE_HEADER = "flamingospread-deadline-ms";
const UPSTREAM_KEY_PREFIX = "servers/";
const CONFIGURATION_KEY = "op/config";
const STATUS_MISDIRECTED = 421;

/** Start time of an engine that has not started again. */
const FIRST_START_MILLISECONDS = 1_700_000_000_000;

/** What an engine does with a request. */
export type EngineAnswer =
    | { readonly type: "answer"; readonly afterMilliseconds: number; }
    | { readonly type: "pause"; readonly retryAfterSeconds: number; };

/** A request that reached an engine. */
export interface EngineArrival {
    readonly path: string;
    /** The engine that the host meant. */
    readonly engine: string;
    /** The time limit that the host names to the engine. */
    readonly limitMilliseconds: number;
    readonly atMilliseconds: number;
}

/** A request as its caller saw it; `atMilliseconds` is when its answer ended. */
export interface CallerOutcome {
    readonly path: string;
    readonly status: number | undefined;
    readonly body: string;
    readonly retryAfterSeconds: number | undefined;
    readonly atMilliseconds: number;
}

/** How a caller sends its request. */
export interface CallOptions {
    /** Keeps connections open; each request has a connection of its own without it. */
    readonly agent?: Agent;
    /** The caller's own time limit. */
    readonly limitMilliseconds?: number;
}

/** An engine of a plain service that answers with its identifier, and records what reaches it. */
export class RecordingEngine {
    readonly service: string;
    readonly arrivals: EngineArrival[] = [];
    readonly #server: Server;
    readonly #respond: (path: string) => EngineAnswer;
    #id: string;
    #startedAtMilliseconds = FIRST_START_MILLISECONDS;

    private constructor(id: string, service: string, respond: (path: string) => EngineAnswer) {
        this.#id = id;
        this.service = service;
        this.#respond = respond;
        this.#server = createServer((message, response) => this.#handle(message, response));
    }

    static async start(
        id: string,
        service: string,
        respond: (path: string) => EngineAnswer,
    ): Promise<RecordingEngine> {
        const engine = new RecordingEngine(id, service, respond);
        await new Promise<void>(resolve => engine.#server.listen(0, "127.0.0.1", resolve));
        return engine;
    }

    get id(): string {
        return this.#id;
    }

    /** Starts again at the same address, under another identifier. */
    restart(id: string): void {
        this.#id = id;
        this.#startedAtMilliseconds = Date.now();
        this.#server.closeAllConnections();
    }

    announcement(state: "ready" | "draining", slots: number): Readonly<Record<string, unknown>> {
        return {
            service: this.service,
            address: `127.0.0.1:${(this.#server.address() as AddressInfo).port}`,
            zone: "zone-a",
            version: "v1",
            slots,
            state,
            coldRemainingMs: 0,
            sequence: state === "ready" ? 1 : 2,
            born: this.#startedAtMilliseconds,
            models: [],
        };
    }

    async close(): Promise<void> {
        this.#server.closeAllConnections();
        await new Promise(resolve => this.#server.close(resolve));
    }

    #handle(message: IncomingMessage, response: ServerResponse): void {
        const { headers, url: path = "" } = message;
        message.resume();
        if (path === HEALTH_PATH) {
            response.setHeader("Flamingospread-Instance-Id", this.#id).end();
            return;
        }
        const engine = String(headers["flamingospread-expect-instance"]);
        const limitMilliseconds = Number(headers[DEADLINE_HEADER]);
        this.arrivals.push({ path, engine, limitMilliseconds, atMilliseconds: performance.now() });
        const identity = { "Flamingospread-Instance-Id": this.#id, "Flamingospread-Not-Executed": "1" };
        if (engine !== this.#id) {
            response.writeHead(STATUS_MISDIRECTED, identity).end();
            return;
        }
        const answer = this.#respond(path);
        if (answer.type === "pause") {
            response.writeHead(503, { ...identity, "Retry-After": String(answer.retryAfterSeconds) }).end();
            return;
        }
        setTimeout(() => {
            response.writeHead(200, {
                "Flamingospread-Request-Id": String(headers["flamingospread-request-id"]),
                "Flamingospread-Response-Signature": `receipt-${engine}`,
            }).end(engine);
        }, answer.afterMilliseconds);
    }
}

/** When the host was stopped, learned the fact half-way as far as the store goes, and went on. */
export interface StopTimes {
    readonly stoppedAtMilliseconds: number;
    readonly factAtMilliseconds: number;
    readonly resumedAtMilliseconds: number;
}

/** What happens while a host does not run: after a quarter, a half and three quarters of the time. */
export interface StopSteps {
    readonly atQuarter?: () => void;
    readonly atHalf: () => void;
    readonly atThreeQuarters?: () => void;
}

/** A host as a process; `close` ends it and its stand-ins. */
export class StoppedHost {
    readonly store: PlatformStoreStandIn;
    readonly engines: RecordingEngine[] = [];
    readonly #program: EntryProgram;
    readonly #settings: EntryProgramSettings;
    readonly #closeBundle: () => void;

    private constructor(
        store: PlatformStoreStandIn,
        program: EntryProgram,
        settings: EntryProgramSettings,
        closeBundle: () => void,
    ) {
        this.store = store;
        this.#program = program;
        this.#settings = settings;
        this.#closeBundle = closeBundle;
    }

    /** Starts the bundled program with a configuration, and waits until it is ready. */
    static async start(configuration: Readonly<Record<string, unknown>>): Promise<StoppedHost> {
        const store = await PlatformStoreStandIn.start();
        store.put(CONFIGURATION_KEY, configuration);
        const settings = await createEntrySettings(store.address);
        const bundle = await bundleProgram();
        const program = startEntryProgram(settings.text, [...NODE_OPTIONS, bundle.launcher]);
        const host = new StoppedHost(store, program, settings, () => bundle.close());
        await waitUntilProgramReady(settings);
        return host;
    }

    get output(): string {
        return this.#program.output();
    }

    configure(configuration: Readonly<Record<string, unknown>>): void {
        this.store.put(CONFIGURATION_KEY, configuration);
    }

    async addEngine(id: string, service: string, respond: (path: string) => EngineAnswer): Promise<RecordingEngine> {
        const engine = await RecordingEngine.start(id, service, respond);
        this.engines.push(engine);
        return engine;
    }

    announce(engine: RecordingEngine, state: "ready" | "draining", slots: number): void {
        this.store.put(`${UPSTREAM_KEY_PREFIX}${engine.id}`, engine.announcement(state, slots));
    }

    withdraw(id: string): void {
        this.store.remove(`${UPSTREAM_KEY_PREFIX}${id}`);
    }

    async call(path: string, { agent, limitMilliseconds }: CallOptions = {}): Promise<CallerOutcome> {
        const host = { settings: { callers: { address: "127.0.0.1", port: this.#settings.callers } } };
        const limit = limitMilliseconds === undefined ? {} : { [DEADLINE_HEADER]: String(limitMilliseconds) };
        const { body, headers, status } = await callHost(host, { path, agent, headers: limit });
        const retryAfter = headers["retry-after"];
        const retryAfterSeconds = retryAfter === undefined ? undefined : Number(retryAfter);
        return { path, status, body, retryAfterSeconds, atMilliseconds: performance.now() };
    }

    /** Stops the process for a time, with steps meanwhile, and lets it go on. */
    async stopFor(milliseconds: number, steps: StopSteps): Promise<StopTimes> {
        const quarterMilliseconds = milliseconds / 4;
        this.#child.kill("SIGSTOP");
        const stoppedAtMilliseconds = performance.now();
        await delay(quarterMilliseconds);
        steps.atQuarter?.();
        await delay(quarterMilliseconds);
        steps.atHalf();
        const factAtMilliseconds = performance.now();
        await delay(quarterMilliseconds);
        steps.atThreeQuarters?.();
        await delay(quarterMilliseconds);
        const resumedAtMilliseconds = performance.now();
        this.#child.kill("SIGCONT");
        return { stoppedAtMilliseconds, factAtMilliseconds, resumedAtMilliseconds };
    }

    async close(): Promise<void> {
        await this.#program.close();
        await Promise.all(this.engines.map(engine => engine.close()));
        await this.store.close();
        this.#closeBundle();
    }

    get #child(): ChildProcess {
        return this.#program.child;
    }
}
