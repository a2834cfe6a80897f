/**
 * HTTP servers of an entry host beside the one for callers: readiness, directory, shared state, metrics.
 *
 * @module
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type ListenAddress } from "./settings.js";
import { type AuxiliaryAnswer } from "./siteProtocol.js";

const STATUS_NOT_FOUND = 404;
const STATUS_FAILED = 500;

/** Returns the answer to a GET request; `undefined` for an unknown URL. */
export type AuxiliaryHandler = (url: string) => AuxiliaryAnswer | undefined | Promise<AuxiliaryAnswer | undefined>;

async function answer(handler: AuxiliaryHandler, message: IncomingMessage, response: ServerResponse): Promise<void> {
    const result = message.method === "GET" ? await handler(message.url ?? "/") : undefined;
    const { status, body } = result ?? { status: STATUS_NOT_FOUND, body: "" };
    const type = body.startsWith("{") ? "application/json" : "text/plain; charset=utf-8";
    response.writeHead(status, { "content-type": type, "content-length": Buffer.byteLength(body) });
    response.end(body);
}

/**
 * Starts an HTTP server that answers GET requests through a handler; all other requests get 404.
 *
 * @param listenAddress Where to listen.
 * @param handler Returns the answers.
 * @param onProblem Called with the message of an error that the handler threw.
 * @returns The listening server.
 *
 * @example
 * ```ts
 * const handler = (url: string) => url === "/ready" ? { status: 200, body: "" } : undefined;
 * const server = await startAuxiliaryServer(address, handler, log);
 * server.close();
 * ```
 */
export function startAuxiliaryServer(
    listenAddress: ListenAddress,
    handler: AuxiliaryHandler,
    onProblem: (problem: string) => void,
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
