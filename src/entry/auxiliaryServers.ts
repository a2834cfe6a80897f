/**
 * HTTP servers of an entry host beside the one for callers: readiness, directory, shared state, metrics.
 *
 * @module
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type Duplex } from "node:stream";
import { type MemoryBudget } from "../memory/index.js";
import { type EntryMetrics } from "../observability/index.js";
import { ParserFeeds, renderRawAnswer } from "./connections/index.js";
import { type ListenAddress } from "./settings.js";
import { type AuxiliaryAnswer } from "./siteProtocol.js";

const STATUS_BAD_REQUEST = 400;
const STATUS_NOT_FOUND = 404;
const STATUS_FAILED = 500;

/** Returns the answer to a GET request; `undefined` for an unknown URL. */
export type AuxiliaryHandler = (url: string) => AuxiliaryAnswer | undefined | Promise<AuxiliaryAnswer | undefined>;

/** Options of an auxiliary server. */
export interface AuxiliaryServerOptions {
    /** Returns the answers. */
    readonly handler: AuxiliaryHandler;
    /** Called with the message of an error that the handler threw. */
    readonly onProblem: (problem: string) => void;
    readonly memory: MemoryBudget;
    readonly metrics: EntryMetrics;
}

function bringsBody({ headers }: IncomingMessage): boolean {
    return headers["transfer-encoding"] !== undefined || Number(headers["content-length"] ?? 0) > 0;
}

/** Answers a request; the connection of one with a body, of which these servers read none, ends with the answer. */
async function answer(handler: AuxiliaryHandler, message: IncomingMessage, response: ServerResponse): Promise<void> {
    const result = message.method === "GET" ? await handler(message.url ?? "/") : undefined;
    const { status, body } = result ?? { status: STATUS_NOT_FOUND, body: "" };
    const type = body.startsWith("{") ? "application/json" : "text/plain; charset=utf-8";
    response.writeHead(status, {
        "content-type": type,
        "content-length": Buffer.byteLength(body),
        ...bringsBody(message) ? { connection: "close" } : {},
    });
    response.end(body);
}

/** Closes a connection whose bytes are no request; Node does so only where nobody listens for the error. */
function refuseUnreadable(socket: Duplex): void {
    if (socket.writable) {
        socket.write(renderRawAnswer({ status: STATUS_BAD_REQUEST }));
    }
    socket.destroy();
}

/**
 * Starts an HTTP server that answers GET requests through a handler; all other requests get 404. The next request of a
 * connection is read once the one before was answered.
 *
 * @param listenAddress Where to listen.
 * @param options The handler, and what the server reports to.
 * @returns The listening server.
 *
 * @example
 * ```ts
 * const handler = (url: string) => url === "/ready" ? { status: 200, body: "" } : undefined;
 * const server = await startAuxiliaryServer(address, { handler, onProblem, memory, metrics });
 * server.close();
 * ```
 */
export function startAuxiliaryServer(
    listenAddress: ListenAddress,
    { handler, memory, metrics, onProblem }: AuxiliaryServerOptions,
): Promise<Server> {
    const server = createServer((message, response) => {
        message.resume();
        answer(handler, message, response).catch((error: unknown) => {
            onProblem(error instanceof Error ? error.message : String(error));
            if (!response.headersSent) {
                response.writeHead(STATUS_FAILED);
            }
            response.end();
        });
    });
    server.on("clientError", (_error, socket) => refuseUnreadable(socket));
    server.on("connect", (_message, socket) => void socket.destroy());
    const feeds = new ParserFeeds({
        memory,
        maximumUnanswered: 1,
        onNoRoom: socket => {
            metrics.count("refusals", { reason: "no-room-ahead" });
            socket.destroy();
        },
    });
    feeds.attach(server);
    return listen(server, listenAddress);
}

/**
 * Starts listening.
 *
 * @returns The server, once it listens.
 * @throws Rejects if the address cannot be bound.
 */
export function listen(server: Server, { address, port }: ListenAddress): Promise<Server> {
    return new Promise((resolve, reject) => {
        const handleListening = (): void => {
            server.removeListener("error", handleError);
            resolve(server);
        };
        const handleError = (error: Error): void => {
            server.removeListener("listening", handleListening);
            reject(error);
        };
        server.once("error", handleError);
        server.once("listening", handleListening);
        server.listen(port, address);
    });
}
