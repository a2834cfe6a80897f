/**
 * A host as a process that is stopped for some time, callers that leave meanwhile, and an engine that records when their
 * requests arrive and when they are abandoned.
 *
 * @module
 */
import assert from "node:assert/strict";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { PlatformStoreStandIn } from "../../standins/platform/store.js";
import { type BundledProgram, NODE_OPTIONS } from "./bundledProgram.js";
import { createEntrySettings, type EntryProgram, startEntryProgram, waitUntilProgramReady } from "./entryProgram.js";
import { HOST_NAME, until } from "./entrySite.js";

const HEALTH_PATH = "/healthz";

const ENGINE_ID = "i-1";

/** Time in which the engine answers a request that it does not hold. */
export const ENGINE_MILLISECONDS = 20;

/** Pause that the engine asks for in its answer to a request of the kind `pause`. */
const PAUSE_SECONDS = 0.5;

const EVENT = `id: 1\ndata: ${"x".repeat(65_536)}\n\n`;

/** How a caller leaves. */
export type Departure = "close" | "reset" | "half-close";

/** Route of a request. */
export type RequestKind = "reads" | "orders" | "streams";

/** How the engine treats a request, by the first part of its identifier. */
export type Treatment = "quick" | "held" | "pause" | "endless";

/** When a request came to the engine, and when it was answered or abandoned; `undefined` while it runs. */
export interface EngineRequest {
    readonly arrivedAtMilliseconds: number;
    endedAtMilliseconds: number | undefined;
}

/** An engine that records its requests by their identifiers. */
export class RecordingEngine {
    readonly requests = new Map<string, EngineRequest>();
    readonly #held: (() => void)[] = [];
    readonly #server: Server;

    private constructor() {
        this.#server = createServer((message, response) => this.#handle(message, response));
    }

    static async start(): Promise<RecordingEngine> {
        const engine = new RecordingEngine();
        await new Promise<void>(resolve => engine.#server.listen(0, "127.0.0.1", resolve));
        return engine;
    }

    get address(): string {
        return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
    }

    /** Answers the requests that it holds. */
    answerHeld(): void {
        this.#held.splice(0).forEach(answer => answer());
    }

    close(): void {
        this.#server.closeAllConnections();
        this.#server.close();
    }

    #handle(message: IncomingMessage, response: ServerResponse): void {
        message.resume();
        if (message.url === HEALTH_PATH) {
            response.setHeader("Flamingospread-Instance-Id", ENGINE_ID).end();
            return;
        }
        const id = String(message.headers["flamingospread-request-id"]);
        const request: EngineRequest = { arrivedAtMilliseconds: performance.now(), endedAtMilliseconds: undefined };
        this.requests.set(id, request);
        response.on("close", () => {
            request.endedAtMilliseconds = performance.now();
        });
        response.setHeader("Flamingospread-Request-Id", id);
        response.setHeader("Flamingospread-Response-Signature", `receipt-${ENGINE_ID}`);
        this.#respond(id.split("-")[0] as Treatment, response);
    }

    #respond(treatment: Treatment, response: ServerResponse): void {
        switch (treatment) {
            case "quick":
                setTimeout(() => response.end("done"), ENGINE_MILLISECONDS);
                break;
            case "held":
                this.#held.push(() => response.end("done"));
                break;
            case "pause":
                response.writeHead(503, { "Flamingospread-Not-Executed": "1", "Retry-After": String(PAUSE_SECONDS) })
                    .end();
                break;
            case "endless":
                response.writeHead(200, { "Content-Type": "text/event-stream" });
                writeEndlessly(response);
        }
    }
}

/** Writes events for as long as they are read. */
function writeEndlessly(response: ServerResponse): void {
    if (response.destroyed) {
        return;
    }
    if (response.write(EVENT)) {
        setImmediate(() => writeEndlessly(response));
    }
    else {
        response.once("drain", () => writeEndlessly(response));
    }
}

/** A caller with one request on a connection of its own. */
export class GoneCaller {
    readonly id: string;
    readonly kind: RequestKind;
    leftAtMilliseconds: number | undefined;
    /** When the first bytes of its answer came. */
    answeredAtMilliseconds: number | undefined;
    /** Status of its answer. */
    status: number | undefined;
    readonly #socket: Socket;

    constructor(port: number, kind: RequestKind, id: string, readsAnswer: boolean) {
        this.id = id;
        this.kind = kind;
        this.#socket = connect({ port, host: "127.0.0.1", allowHalfOpen: true });
        this.#socket.on("error", () => undefined);
        this.#socket.once("data", (piece: Buffer) => this.#recordAnswer(piece));
        if (readsAnswer) {
            this.#socket.on("data", () => undefined);
        }
        else {
            this.#socket.once("data", () => this.#socket.pause());
        }
        this.#socket.write(
            `${kind === "reads" ? "GET" : "POST"} /${kind}/1 HTTP/1.1\r\nHost: ${HOST_NAME}\r\n`
                + `Flamingospread-Request-Id: ${id}\r\nContent-Length: 0\r\n\r\n`,
        );
    }

    /** Leaves; the host's operating system knows at once. */
    leave(departure: Departure): void {
        this.leftAtMilliseconds = performance.now();
        switch (departure) {
            case "close":
                this.#socket.destroy();
                break;
            case "reset":
                this.#socket.resetAndDestroy();
                break;
            case "half-close":
                this.#socket.end();
        }
    }

    close(): void {
        this.#socket.destroy();
    }

    #recordAnswer(piece: Buffer): void {
        this.answeredAtMilliseconds = performance.now();
        this.status = Number(/^HTTP\/1\.1 (\d{3})/.exec(piece.toString("latin1"))?.[1]);
    }
}

/** A host as a process, its engine, and its callers. */
export class StoppableHost {
    readonly engine: RecordingEngine;
    readonly callers: GoneCaller[] = [];
    readonly #program: EntryProgram;
    /** Port at which the host accepts callers. */
    readonly #port: number;
    #callCount = 0;

    private constructor(engine: RecordingEngine, program: EntryProgram, port: number) {
        this.engine = engine;
        this.#program = program;
        this.#port = port;
    }

    /** Starts the bundled program; `maximumConnections` bounds its connections to the engine. */
    static async start(
        context: TestContext,
        bundle: BundledProgram,
        maximumConnections: number,
    ): Promise<StoppableHost> {
        const store = await PlatformStoreStandIn.start();
        const engine = await RecordingEngine.start();
        store.put(`servers/${ENGINE_ID}`, announcement(engine.address));
        store.put("op/config", configuration(maximumConnections));
        const settings = await createEntrySettings(store.address);
        const program = startEntryProgram(settings.text, [...NODE_OPTIONS, bundle.launcher]);
        const host = new StoppableHost(engine, program, settings.callers);
        context.after(async () => {
            host.callers.forEach(caller => caller.close());
            await program.close();
            engine.close();
            await store.close();
        });
        await waitUntilProgramReady(settings);
        await until(() => program.output().includes("\"upstream joined\""));
        await host.#serveFirst();
        host.callers.length = 0;
        return host;
    }

    /** Serves a read and a stream: streams wait until the versions in service are on record. */
    async #serveFirst(): Promise<void> {
        const stream = this.call("streams", "endless");
        await this.untilAnswered([this.call("reads", "quick"), stream]);
        stream.leave("close");
        await until(() => this.engine.requests.get(stream.id)?.endedAtMilliseconds !== undefined);
    }

    /** Begins a request of a caller. */
    call(kind: RequestKind, treatment: Treatment, readsAnswer = true): GoneCaller {
        this.#callCount += 1;
        const caller = new GoneCaller(this.#port, kind, `${treatment}-${this.#callCount}`, readsAnswer);
        this.callers.push(caller);
        return caller;
    }

    /** Begins several requests. */
    callTimes(count: number, kind: RequestKind, treatment: Treatment, readsAnswer = true): GoneCaller[] {
        return Array.from({ length: count }, () => this.call(kind, treatment, readsAnswer));
    }

    /** Waits until the engine has received the requests of some callers. */
    async untilReceived(callers: readonly GoneCaller[]): Promise<void> {
        await until(() => callers.every(({ id }) => this.engine.requests.has(id)));
    }

    /** Waits until some callers have the first bytes of their answers. */
    async untilAnswered(callers: readonly GoneCaller[]): Promise<void> {
        await until(() => callers.every(({ answeredAtMilliseconds }) => answeredAtMilliseconds !== undefined));
    }

    /** Waits until the host has logged that requests wait for a reason. */
    async untilWaiting(count: number, reason: string): Promise<void> {
        await until(() => this.#program.output().split(waitPattern(reason)).length > count);
    }

    /** Returns how many lines with a message the host has logged. */
    countLines(message: string): number {
        return this.#program.output().split(`"message":"${message}"`).length - 1;
    }

    stop(): void {
        assert.ok(this.#program.child.kill("SIGSTOP"));
    }

    /** Goes on; returns when. */
    goOn(): number {
        assert.ok(this.#program.child.kill("SIGCONT"));
        return performance.now();
    }

    /** Lets the host run for a short share of the time: stops it in turns. */
    async runInTurns(turns: number, runMilliseconds: number, stopMilliseconds: number): Promise<void> {
        for (let turn = 0; turn < turns; turn += 1) {
            this.stop();
            await delay(stopMilliseconds);
            this.goOn();
            await delay(runMilliseconds);
        }
    }

    /** Returns the requests that came to the engine later than the given time after their callers had left. */
    lateRequests(milliseconds: number): readonly string[] {
        return this.callers.flatMap(caller => {
            const arrivedAt = this.engine.requests.get(caller.id)?.arrivedAtMilliseconds;
            const { id, leftAtMilliseconds: leftAt } = caller;
            return arrivedAt !== undefined && leftAt !== undefined && arrivedAt - leftAt > milliseconds
                ? [`${caller.kind} ${id} after ${Math.round(arrivedAt - leftAt)} ms`]
                : [];
        });
    }

    /** Returns the requests of callers that left on which the engine still worked at a moment. */
    stillAtWork(atMilliseconds: number): readonly string[] {
        return this.callers.flatMap(({ id, leftAtMilliseconds }) => {
            const request = this.engine.requests.get(id);
            const endedAt = request?.endedAtMilliseconds ?? Number.POSITIVE_INFINITY;
            return request !== undefined && leftAtMilliseconds !== undefined && endedAt > atMilliseconds
                ? [`${id} until ${Math.round(endedAt - atMilliseconds)} ms later`]
                : [];
        });
    }
}

function waitPattern(reason: string): RegExp {
    return new RegExp(`"reason":"${reason}".*"message":"request waits"`);
}

function announcement(address: string): Readonly<Record<string, unknown>> {
    return {
        service: "plain",
        address,
        zone: "zone-a",
        version: "v1",
        slots: 400,
        state: "ready",
        coldRemainingMs: 0,
        sequence: 40,
        born: 1_700_000_000_000,
        models: [],
    };
}

function configuration(maxConnections: number): Readonly<Record<string, unknown>> {
    const route = {
        host: HOST_NAME,
        timeoutMs: 15_000,
        targetLatencyMs: 5_000,
        priority: 0,
        service: "plain",
        maxAttempts: 2,
    };
    return {
        version: 1,
        routes: [
            { ...route, name: "reads", pathPrefix: "/reads/", kind: "idempotent" },
            { ...route, name: "orders", pathPrefix: "/orders/", kind: "non_idempotent" },
            { ...route, name: "streams", pathPrefix: "/streams/", kind: "stream", resumable: true },
        ],
        services: [{ name: "plain", healthPath: HEALTH_PATH, maxConnections }],
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    };
}
