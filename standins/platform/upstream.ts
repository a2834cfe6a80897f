/**
 * Stand-in of an upstream on the platform: a plain service or a model engine.
 *
 * @module
 */
import { type IncomingMessage, type ServerResponse } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { PauseGate } from "./_pauseGate.js";
import { readBody } from "./_readBody.js";
import { RestartableServer } from "./_restartableServer.js";
import { type DeadlyParts } from "./deadlyParts.js";

/** Time for the bytes before a reset to arrive. */
const RESET_DELAY_MILLISECONDS = 5;

/** Start time of an upstream that has not crashed. */
const FIRST_START_MILLISECONDS = 1_700_000_000_000;

/** Path of health checks, which are answered unless the upstream is paused, and not counted as received. */
const HEALTH_PATH = "/healthz";

/** A request that the upstream received. */
export interface ReceivedRequest {
    readonly id: string;
    readonly method: string;
    readonly path: string;
    readonly headers: IncomingMessage["headers"];
    readonly rawHeaders: readonly string[];
    readonly body: string;
}

/** How an answer's end is marked; by its length or by chunks unless stated otherwise. */
interface AnswerEnding {
    /** Sends neither a length nor chunks, nor that the connection closes; the answer ends with its connection. */
    readonly isUnframed?: boolean;
    /** Resets the connection after the last byte of an unframed answer. */
    readonly resetsAtEnd?: boolean;
}

/** How the upstream responds to a request. */
export type Behaviour =
    | AnswerEnding & {
        readonly type: "answer";
        readonly status?: number;
        readonly body?: string;
        readonly afterMilliseconds?: number;
        /** Time between the head and the body. */
        readonly bodyAfterMilliseconds?: number;
        /** Time between the halves of the body. */
        readonly halfAfterMilliseconds?: number;
        readonly headers?: Readonly<Record<string, string>>;
    }
    | AnswerEnding & {
        readonly type: "stream";
        readonly events: number;
        readonly gapMilliseconds?: number;
        /** Time until the head and the first event; 0 by default. */
        readonly firstTokenMilliseconds?: number;
        /** Breaks off within this event, after `breakText`: resets the connection, or ends as if it were complete. */
        readonly breakAfter?: number;
        /** After this event the engine sends nothing for `silentMilliseconds`, and then goes on. */
        readonly silentAfter?: number;
        readonly silentMilliseconds?: number;
        /** Length of the padding of each event. */
        readonly paddingBytes?: number;
        readonly breakText?: string;
        readonly breakBy?: "reset" | "end";
        readonly headers?: Readonly<Record<string, string>>;
    }
    /** Writes these bytes in place of an answer, and closes the connection, or resets it at once. */
    | { readonly type: "raw"; readonly bytes: string; readonly resetsAtEnd?: boolean; }
    /** Answers that it has not executed the request. */
    | {
        readonly type: "not-run";
        readonly status: 421 | 429 | 503;
        readonly headers?: Readonly<Record<string, string>>;
    }
    /** Resets the connection without an answer. */
    | { readonly type: "reset"; readonly afterMilliseconds?: number; }
    | { readonly type: "silent"; }
    /** Sends a part of a body that has no declared length, and resets the connection. */
    | { readonly type: "unframed-reset"; }
    | { readonly type: "without-receipt"; }
    | { readonly type: "wrong-identifier"; }
    /** Sends a second answer that no request belongs to. */
    | { readonly type: "extra-answer"; };

/** Options of an upstream. */
export interface UpstreamOptions {
    readonly id: string;
    readonly behave?: (request: ReceivedRequest) => Behaviour;
    readonly slots?: number;
    /** Version of its software, which it then writes into each event of a stream too. */
    readonly softwareVersion?: string;
    /** Models in memory at the start, each with its adapters; present for engines. */
    readonly models?: Readonly<Record<string, readonly string[]>>;
    /** How long an engine is busy with a model that it was ordered to load; 0 by default. */
    readonly loadMilliseconds?: number;
    /** Prompt parts that crash the upstream; those of a fleet share one object. */
    readonly deadlyParts?: DeadlyParts;
    /** How it starts again after a crash; `undefined` where it stays down. */
    readonly restart?: RestartOptions;
}

/** A start after a crash: with a new start time, and no orders counted. */
export interface RestartOptions {
    readonly afterMilliseconds: number;
    /** True where it then has the models that it had, instead of none. */
    readonly keepsModels?: boolean;
    /** True where it then has another identifier. */
    readonly changesId?: boolean;
}

/** An order that the engine received, with the status of its answer. */
export interface ReceivedOrder {
    readonly order: Readonly<Record<string, unknown>>;
    readonly status: number;
}

/** A running upstream. */
export class PlatformUpstreamStandIn {
    readonly received: ReceivedRequest[] = [];
    readonly orders: ReceivedOrder[] = [];
    /** Requests whose connection closed before the answer was complete. */
    readonly abandoned: string[] = [];
    /** Value of the header `Server-Limit` in all answers; `undefined` for none. */
    limit: string | undefined;
    /** Further headers of answers to orders. */
    orderHeaders: Readonly<Record<string, string>> = {};
    /** Status of answers to orders, which are then not carried out; `undefined` where they are. */
    orderStatus: number | undefined;
    /** Called when it has started again after a crash, with the identifier that it had. */
    onRestarted: (previousId: string) => void = () => undefined;
    readonly #options: UpstreamOptions;
    readonly #models: Map<string, Set<string>>;
    readonly #server: RestartableServer;
    readonly #pauseGate = new PauseGate();
    #pauseTimer: NodeJS.Timeout | undefined;
    #startCount = 1;
    #startedAtMilliseconds = FIRST_START_MILLISECONDS;
    #restartTimer: NodeJS.Timeout | undefined;
    #running = 0;
    #orderCount = 0;
    #isLoading = false;

    private constructor(options: UpstreamOptions) {
        this.#options = options;
        this.#models = new Map(
            Object.entries(options.models ?? {}).map(([name, adapters]) => [name, new Set(adapters)]),
        );
        this.#server = new RestartableServer((message, response) => void this.#handleMessage(message, response));
    }

    /** Starts an upstream on a free loopback port. */
    static async start(options: UpstreamOptions): Promise<PlatformUpstreamStandIn> {
        const upstream = new PlatformUpstreamStandIn(options);
        await upstream.#server.listen();
        return upstream;
    }

    get id(): string {
        const { id, restart } = this.#options;
        return restart?.changesId === true && this.#startCount > 1 ? `${id}-start-${this.#startCount}` : id;
    }

    get address(): string {
        return this.#server.address;
    }

    /** False between a crash and the next start. */
    get isUp(): boolean {
        return this.#server.isListening;
    }

    /** Returns the announcement that the upstream writes into the store. */
    announcement(service: string, overrides: Readonly<Record<string, unknown>> = {}): Record<string, unknown> {
        return {
            service,
            address: this.address,
            zone: "zone-a",
            version: this.#options.softwareVersion ?? "v1",
            slots: this.#options.slots ?? 6,
            state: "ready",
            coldRemainingMs: 0,
            sequence: 40,
            born: this.#startedAtMilliseconds,
            models: this.#describeModels(),
            ...overrides,
        };
    }

    /**
     * Stops the whole upstream as a stopped process: it reads nothing, sends nothing (neither answers nor its report)
     * and closes no connection; its timers fire once it goes on. New connections are accepted. Its announcement stays.
     *
     * @param milliseconds Time until it goes on; `undefined` for an upstream that hangs until `resume`.
     */
    pause(milliseconds?: number): void {
        this.#pauseGate.close();
        this.#server.pause();
        clearTimeout(this.#pauseTimer);
        if (milliseconds !== undefined) {
            this.#pauseTimer = setTimeout(() => this.resume(), milliseconds);
        }
    }

    /** Ends a pause. */
    resume(): void {
        clearTimeout(this.#pauseTimer);
        this.#server.resume();
        this.#pauseGate.open();
    }

    /** Resets all connections and stops listening, then starts again where its options say so. */
    crash(): void {
        const { restart } = this.#options;
        if (!this.isUp) {
            return;
        }
        this.#server.crash();
        this.resume();
        if (restart !== undefined) {
            this.#restartTimer = setTimeout(() => void this.#restart(restart), restart.afterMilliseconds);
        }
    }

    async close(): Promise<void> {
        clearTimeout(this.#restartTimer);
        this.resume();
        await this.#server.close();
    }

    async #restart({ keepsModels }: RestartOptions): Promise<void> {
        const previousId = this.id;
        this.#startCount += 1;
        this.#startedAtMilliseconds = Date.now();
        this.#orderCount = 0;
        if (keepsModels !== true) {
            this.#models.clear();
        }
        await this.#server.listen();
        this.onRestarted(previousId);
    }

    /** Returns false where the caller has left, and where the prompt has a deadly part, by which it then crashes. */
    #canBeginAnswer(request: ReceivedRequest, response: ServerResponse): boolean {
        const { deadlyParts } = this.#options;
        const part = deadlyParts?.find(request.headers["flamingospread-prompt-prefix"]);
        if (part === undefined || response.destroyed) {
            return !response.destroyed;
        }
        deadlyParts?.recordCrash(part, request.id, this.id);
        this.crash();
        return false;
    }

    #recordDeadlyArrival(request: ReceivedRequest): void {
        const { deadlyParts } = this.#options;
        const part = deadlyParts?.find(request.headers["flamingospread-prompt-prefix"]);
        if (part !== undefined) {
            deadlyParts?.recordArrival(part, request.id, this.id);
        }
    }

    #describeModels(): readonly unknown[] {
        return [...this.#models].map(([name, adapters]) => ({ name, version: 1, adapters: [...adapters] }));
    }

    async #handleMessage(message: IncomingMessage, response: ServerResponse): Promise<void> {
        const body = await readBody(message);
        if (body === undefined) {
            return;
        }
        await this.#pauseGate.passed();
        if (message.url === HEALTH_PATH) {
            response.setHeader("Flamingospread-Instance-Id", this.id).end();
            return;
        }
        if (message.url === "/report") {
            const report = { models: this.#describeModels(), busy: this.#isLoading, sequence: this.#orderCount };
            response.writeHead(200, { "content-type": "application/json", ...this.#limitHeaders() })
                .end(JSON.stringify(report));
            return;
        }
        if (message.url === "/order") {
            this.#handleOrder(JSON.parse(body) as Record<string, unknown>, response);
            return;
        }
        await this.#handleRequest({
            id: String(message.headers["flamingospread-request-id"]),
            method: message.method ?? "",
            path: message.url ?? "",
            headers: message.headers,
            rawHeaders: message.rawHeaders,
            body,
        }, response);
    }

    #handleOrder(order: Readonly<Record<string, unknown>>, response: ServerResponse): void {
        const isExpected = order["expected"] === this.#orderCount;
        const status = this.orderStatus ?? (isExpected ? this.#applyOrder(order) : 409);
        this.orders.push({ order, status });
        response.writeHead(status, { ...this.#limitHeaders(), ...this.orderHeaders }).end();
    }

    #applyOrder(order: Readonly<Record<string, unknown>>): number {
        const model = String(order["model"]);
        const adapter = order["adapter"];
        this.#orderCount += 1;
        if (order["operation"] === "unload") {
            if (typeof adapter === "string") {
                this.#models.get(model)?.delete(adapter);
                return 200;
            }
            this.#models.delete(model);
            return 202;
        }
        if (typeof adapter === "string") {
            const adapters = this.#models.get(model) ?? new Set();
            this.#models.set(model, adapters.add(adapter));
        }
        else {
            this.#load(model);
        }
        return 202;
    }

    #load(model: string): void {
        this.#isLoading = true;
        const finish = (): void => {
            this.#isLoading = false;
            this.#models.set(model, this.#models.get(model) ?? new Set());
        };
        const { loadMilliseconds = 0 } = this.#options;
        if (loadMilliseconds === 0) {
            finish();
            return;
        }
        void this.#wait(loadMilliseconds).then(finish);
    }

    /** Waits for some time, and then until the upstream is not paused. */
    async #wait(milliseconds: number | undefined): Promise<void> {
        await delay(milliseconds);
        await this.#pauseGate.passed();
    }

    #isResident(request: ReceivedRequest): boolean {
        const requested = request.headers["flamingospread-model"];
        if (typeof requested !== "string") {
            return true;
        }
        const [model = "", adapter] = requested.split("/");
        const adapters = this.#models.get(model);
        return adapters !== undefined && (adapter === undefined || adapters.has(adapter));
    }

    async #handleRequest(request: ReceivedRequest, response: ServerResponse): Promise<void> {
        this.#recordDeadlyArrival(request);
        if (request.headers["flamingospread-expect-instance"] !== this.id || !this.#isResident(request)) {
            response.writeHead(421, {
                "Flamingospread-Request-Id": request.id,
                "Flamingospread-Instance-Id": this.id,
                "Flamingospread-Not-Executed": "1",
                ...this.#limitHeaders(),
            }).end();
            return;
        }
        this.received.push(request);
        this.#running += 1;
        response.on("close", () => {
            this.#running -= 1;
            if (!response.writableFinished) {
                this.abandoned.push(request.id);
            }
        });
        await this.#respond(this.#options.behave?.(request) ?? { type: "answer" }, request, response);
    }

    #versionMark(): string {
        const { softwareVersion } = this.#options;
        return softwareVersion === undefined ? "" : ` ${softwareVersion}`;
    }

    #limitHeaders(): Record<string, string> {
        return this.limit === undefined ? {} : { "Server-Limit": this.limit };
    }

    #answerHeaders(request: ReceivedRequest): Record<string, string> {
        return {
            ...this.#limitHeaders(),
            "Flamingospread-Request-Id": request.id,
            "Flamingospread-Response-Signature": `receipt-${this.id}`,
            "Flamingospread-Engine-Load": `${this.#running},0,${this.#options.slots ?? 6}`,
        };
    }

    async #respond(behaviour: Behaviour, request: ReceivedRequest, response: ServerResponse): Promise<void> {
        const headers = this.#answerHeaders(request);
        switch (behaviour.type) {
            case "answer":
                await this.#wait(behaviour.afterMilliseconds ?? 0);
                if (!this.#canBeginAnswer(request, response)) {
                    return;
                }
                prepareEnding(behaviour, response);
                response.writeHead(behaviour.status ?? 200, { ...headers, ...behaviour.headers });
                if (behaviour.bodyAfterMilliseconds !== undefined) {
                    response.flushHeaders();
                    await this.#wait(behaviour.bodyAfterMilliseconds);
                }
                await this.#sendBody(behaviour, response, behaviour.body ?? `${this.id} ran ${request.id}`);
                break;
            case "stream":
                await this.#stream(behaviour, request, response);
                break;
            case "not-run":
                response.writeHead(behaviour.status, {
                    "Flamingospread-Request-Id": request.id,
                    "Flamingospread-Not-Executed": "1",
                    ...this.#limitHeaders(),
                    ...behaviour.headers,
                }).end();
                break;
            case "reset":
                await this.#wait(behaviour.afterMilliseconds ?? 0);
                response.socket?.resetAndDestroy();
                break;
            case "silent":
                break;
            case "raw":
                this.#sendRaw(behaviour, response);
                break;
            case "unframed-reset":
                response.socket?.write(renderHead(headers) + "half of a bo");
                setImmediate(() => response.socket?.resetAndDestroy());
                break;
            case "without-receipt":
                response.writeHead(200, { "Flamingospread-Request-Id": request.id }).end("whose?");
                break;
            case "wrong-identifier":
                response.writeHead(200, { ...headers, "Flamingospread-Request-Id": "another" }).end("another's");
                break;
            case "extra-answer":
                response.writeHead(200, { ...headers, "Content-Length": "2" }).end("ok");
                response.socket?.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra");
        }
    }

    async #stream(
        behaviour: Extract<Behaviour, { readonly type: "stream"; }>,
        request: ReceivedRequest,
        response: ServerResponse,
    ): Promise<void> {
        const first = Number(request.headers["last-event-id"] ?? 0) + 1;
        if (behaviour.firstTokenMilliseconds !== undefined) {
            await this.#wait(behaviour.firstTokenMilliseconds);
        }
        if (!this.#canBeginAnswer(request, response)) {
            return;
        }
        prepareEnding(behaviour, response);
        response.writeHead(200, {
            ...this.#answerHeaders(request),
            "Content-Type": "text/event-stream",
            ...behaviour.headers,
        });
        for (let event = first; event <= behaviour.events && !response.destroyed; event += 1) {
            if (event === behaviour.breakAfter) {
                const text = behaviour.breakText ?? `id: ${event}\nda`;
                await this.#endAnswer({ resetsAtEnd: behaviour.breakBy !== "end" }, response, text);
                return;
            }
            const padding = "x".repeat(behaviour.paddingBytes ?? 0);
            response.write(`id: ${event}\ndata: ${event}${padding}${this.#versionMark()}\n\n`);
            const isSilent = event === behaviour.silentAfter;
            await this.#wait(isSilent ? behaviour.silentMilliseconds : untilNextStep(behaviour.gapMilliseconds ?? 1));
        }
        await this.#endAnswer(behaviour, response, "");
    }

    async #sendBody(
        behaviour: Extract<Behaviour, { readonly type: "answer"; }>,
        response: ServerResponse,
        body: string,
    ): Promise<void> {
        if (behaviour.halfAfterMilliseconds === undefined) {
            await this.#endAnswer(behaviour, response, body);
            return;
        }
        const middle = Math.floor(body.length / 2);
        response.write(body.slice(0, middle));
        await this.#wait(behaviour.halfAfterMilliseconds);
        await this.#endAnswer(behaviour, response, body.slice(middle));
    }

    #sendRaw(
        { bytes, resetsAtEnd }: Extract<Behaviour, { readonly type: "raw"; }>,
        { socket }: ServerResponse,
    ): void {
        if (resetsAtEnd !== true) {
            socket?.end(bytes, "latin1");
            return;
        }
        socket?.write(bytes, "latin1");
        socket?.resetAndDestroy();
    }

    async #endAnswer({ resetsAtEnd }: AnswerEnding, response: ServerResponse, lastText: string): Promise<void> {
        if (resetsAtEnd !== true) {
            response.end(lastText);
            return;
        }
        response.write(lastText);
        await this.#wait(RESET_DELAY_MILLISECONDS);
        response.socket?.resetAndDestroy();
    }
}

/** Returns the time until the next step of the batch, in which an engine makes the next event of all its streams. */
function untilNextStep(gapMilliseconds: number): number {
    return gapMilliseconds - performance.now() % gapMilliseconds;
}

function prepareEnding({ isUnframed }: AnswerEnding, response: ServerResponse): void {
    if (isUnframed === true) {
        response.useChunkedEncodingByDefault = false;
        response.shouldKeepAlive = false;
        response.removeHeader("connection");
    }
}

function renderHead(headers: Readonly<Record<string, string>>): string {
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
    return `HTTP/1.1 200 OK\r\n${lines.join("")}Connection: close\r\n\r\n`;
}
