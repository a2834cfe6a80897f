/**
 * HTTP server on loopback that all stand-ins share, with fault injection and a control API.
 *
 * `POST /standin/faults` changes the faults; `GET /standin/state` returns the state that the stand-in recorded.
 *
 * @module
 */
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { type AddressInfo } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { z } from "zod";

const LOOPBACK = "127.0.0.1";
const CONTROL_PREFIX = "/standin/";
const FREEZE_POLL_MILLISECONDS = 10;

/** Validates changes of a stand-in's faults; faults that are missing stay as they are. */
export const faultsSchema = z.object({
    /** Only requests whose path has this prefix are subject to the faults. */
    pathPrefix: z.string().optional(),
    delayMilliseconds: z.number().nonnegative().optional(),
    /** Number of requests that take effect and whose connection is then closed in place of an answer. */
    dropAnswers: z.number().int().nonnegative().optional(),
    /** Number of requests that are answered with 503 and have no effect. */
    refuse: z.number().int().nonnegative().optional(),
    /** Holds back requests and streams, without sending a byte, until set to false. */
    freeze: z.boolean().optional(),
    /** Closes all connections, and that of each later request before it takes effect. */
    outage: z.boolean().optional(),
    /** Restarts the stand-in, which loses its state. */
    restart: z.boolean().optional(),
    leaving: z.boolean().optional(),
}).strict();
/** Changes of a stand-in's faults; faults that are missing stay as they are. */
export type Faults = z.infer<typeof faultsSchema>;

/** A request that a stand-in received. */
export interface StandInRequest {
    readonly method: string;
    readonly path: string;
    readonly query: URLSearchParams;
    readonly headers: IncomingMessage["headers"];
    readonly body: string;
}

/** Writes the parts of a streamed answer; `write` resolves with false once the reader has disconnected. */
export interface StreamWriter {
    write(text: string): Promise<boolean>;
    readonly ended: boolean;
    onEnded(listener: () => void): void;
}

/** Answer of a stand-in. */
export type StandInAnswer =
    | { readonly type: "json"; readonly status: number; readonly body: unknown; }
    | { readonly type: "stream"; readonly contentType: string; readonly run: (writer: StreamWriter) => Promise<void>; };

/** A running stand-in. */
export interface StandIn<State = unknown> {
    readonly port: number;
    readonly url: string;
    setFaults(faults: Faults): void;
    state(): State;
    close(): Promise<void>;
}

/** Behaviour of one kind of stand-in. */
export interface StandInBehaviour<State> {
    readonly port: number;
    handle(request: StandInRequest): Promise<StandInAnswer> | StandInAnswer;
    state(): State;
    restart(): void;
    setLeaving(leaving: boolean): void;
    close(): void;
}

/** Creates an answer with a JSON body. */
export function json(status: number, body: unknown): StandInAnswer {
    return { type: "json", status, body };
}

async function readBody(request: IncomingMessage): Promise<string> {
    const parts: Buffer[] = [];
    for await (const part of request) {
        parts.push(part as Buffer);
    }
    return Buffer.concat(parts).toString("utf8");
}

function writeJson(response: ServerResponse, status: number, body: unknown): void {
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(body));
}

/**
 * Starts a stand-in's server.
 *
 * @param behaviour Port, answers, state and restart of the stand-in.
 * @returns The stand-in, once its server listens.
 *
 * @example
 * ```ts
 * const standIn = await startServer({ port: 0, handle: () => json(200, {}), ...behaviour });
 * ```
 */
export async function startServer<State>(behaviour: StandInBehaviour<State>): Promise<StandIn<State>> {
    const faults = {
        pathPrefix: "/",
        delayMilliseconds: 0,
        dropAnswers: 0,
        refuse: 0,
        freeze: false,
        outage: false,
        leaving: false,
        restart: false,
    };

    function setFaults(change: Faults): void {
        Object.assign(faults, change);
        if (change.leaving !== undefined) {
            behaviour.setLeaving(change.leaving);
        }
        if (change.restart === true) {
            faults.restart = false;
            behaviour.restart();
            server.closeAllConnections();
        }
        if (change.outage === true) {
            server.closeAllConnections();
        }
    }

    async function waitWhileFrozen(isAffected: boolean): Promise<void> {
        while (isAffected && faults.freeze) {
            await delay(FREEZE_POLL_MILLISECONDS);
        }
    }

    async function handleControl(path: string, incoming: IncomingMessage, response: ServerResponse): Promise<void> {
        if (path === "/standin/state") {
            writeJson(response, 200, behaviour.state());
            return;
        }
        const change = faultsSchema.safeParse(JSON.parse(await readBody(incoming)));
        if (!change.success) {
            writeJson(response, 400, { error: change.error.message });
            return;
        }
        writeJson(response, 200, {});
        response.on("close", () => {
            setFaults(change.data);
        });
    }

    function createWriter(response: ServerResponse, isAffected: boolean): StreamWriter {
        let ended = false;
        response.on("close", () => {
            ended = true;
        });
        return {
            async write(text) {
                await waitWhileFrozen(isAffected);
                if (!ended) {
                    response.write(text);
                }
                return !ended;
            },
            get ended() {
                return ended;
            },
            onEnded: listener => response.on("close", listener),
        };
    }

    async function answerRequest(url: URL, incoming: IncomingMessage, response: ServerResponse): Promise<void> {
        const isAffected = url.pathname.startsWith(faults.pathPrefix);
        const body = await readBody(incoming);
        if (isAffected) {
            await delay(faults.delayMilliseconds);
            await waitWhileFrozen(isAffected);
        }
        if (isAffected && faults.outage) {
            incoming.socket.destroy();
            return;
        }
        if (isAffected && faults.refuse > 0) {
            faults.refuse -= 1;
            writeJson(response, 503, { error: { code: "unavailable", message: "refused by a fault" } });
            return;
        }
        const answer = await behaviour.handle({
            method: incoming.method ?? "GET",
            path: url.pathname,
            query: url.searchParams,
            headers: incoming.headers,
            body,
        });
        await waitWhileFrozen(isAffected);
        if (isAffected && faults.dropAnswers > 0) {
            faults.dropAnswers -= 1;
            incoming.socket.destroy();
            return;
        }
        if (answer.type === "json") {
            writeJson(response, answer.status, answer.body);
            return;
        }
        response.writeHead(200, { "content-type": answer.contentType });
        response.flushHeaders();
        await answer.run(createWriter(response, isAffected));
        response.end();
    }

    const server = createServer((incoming, response) => {
        const url = new URL(incoming.url ?? "/", "http://standin");
        const handling = url.pathname.startsWith(CONTROL_PREFIX)
            ? handleControl(url.pathname, incoming, response)
            : answerRequest(url, incoming, response);
        handling.catch(() => {
            incoming.socket.destroy();
        });
    });
    await new Promise<void>(resolve => server.listen(behaviour.port, LOOPBACK, resolve));
    const { port } = server.address() as AddressInfo;
    return {
        port,
        url: `http://${LOOPBACK}:${port}`,
        setFaults,
        state: () => behaviour.state(),
        async close() {
            faults.freeze = false;
            behaviour.close();
            server.closeAllConnections();
            await new Promise<void>(resolve => server.close(() => resolve()));
        },
    };
}
