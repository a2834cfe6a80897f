/**
 * What all stand-ins share: an HTTP server on loopback with injected faults and a control surface.
 *
 * `POST /standin/faults` changes the faults, `GET /standin/state` reads what the stand-in recorded.
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

/** Validates: Faults of a stand-in; a missing member stays as it is. */
export const faultsSchema = z.object({
    /** Only requests whose path begins with this meet the faults. */
    pathPrefix: z.string().optional(),
    delayMilliseconds: z.number().nonnegative().optional(),
    /** How many answers are lost after their effect; the connection ends in their place. */
    dropAnswers: z.number().int().nonnegative().optional(),
    /** How many requests are answered with 503 before any effect. */
    refuse: z.number().int().nonnegative().optional(),
    /** Holds requests and streams without a byte until set back. */
    freeze: z.boolean().optional(),
    /** Ends each connection before any effect. */
    outage: z.boolean().optional(),
    /** Starts again with nothing kept. */
    restart: z.boolean().optional(),
    leaving: z.boolean().optional(),
}).strict();
/** Faults of a stand-in; a missing member stays as it is. */
export type Faults = z.infer<typeof faultsSchema>;

/** A request as a stand-in sees it. */
export interface StandInRequest {
    readonly method: string;
    readonly path: string;
    readonly query: URLSearchParams;
    readonly headers: IncomingMessage["headers"];
    readonly body: string;
}

/** Writes the parts of a streamed answer; `write` gives false once the reader has gone. */
export interface StreamWriter {
    write(text: string): Promise<boolean>;
    readonly ended: boolean;
    onEnded(listener: () => void): void;
}

/** What a stand-in answers. */
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

/** What makes one stand-in differ from another. */
export interface StandInBehaviour<State> {
    readonly port: number;
    handle(request: StandInRequest): Promise<StandInAnswer> | StandInAnswer;
    state(): State;
    restart(): void;
    setLeaving(leaving: boolean): void;
    close(): void;
}

/** Makes an answer with a JSON body. */
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
 * @param behaviour What the stand-in answers, and how it restarts.
 * @returns The running stand-in, once it listens.
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

    async function waitWhileFrozen(affected: boolean): Promise<void> {
        while (affected && faults.freeze) {
            await delay(FREEZE_POLL_MILLISECONDS);
        }
    }

    async function control(path: string, incoming: IncomingMessage, response: ServerResponse): Promise<void> {
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

    function createWriter(response: ServerResponse, affected: boolean): StreamWriter {
        let ended = false;
        response.on("close", () => {
            ended = true;
        });
        return {
            async write(text) {
                await waitWhileFrozen(affected);
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
        const affected = url.pathname.startsWith(faults.pathPrefix);
        const body = await readBody(incoming);
        if (affected) {
            await delay(faults.delayMilliseconds);
            await waitWhileFrozen(affected);
        }
        if (affected && faults.outage) {
            incoming.socket.destroy();
            return;
        }
        if (affected && faults.refuse > 0) {
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
        await waitWhileFrozen(affected);
        if (affected && faults.dropAnswers > 0) {
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
        await answer.run(createWriter(response, affected));
        response.end();
    }

    const server = createServer((incoming, response) => {
        const url = new URL(incoming.url ?? "/", "http://standin");
        const served = url.pathname.startsWith(CONTROL_PREFIX)
            ? control(url.pathname, incoming, response)
            : answerRequest(url, incoming, response);
        served.catch(() => {
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
