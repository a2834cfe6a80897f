/**
 * The small HTTP servers of an entry host: readiness, directory, shared state, metrics.
 *
 * @module
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type ListenAddress } from "./settings.js";
import { type SmallAnswer } from "./siteProtocol.js";

const STATUS_NOT_FOUND = 404;
const STATUS_FAILED = 500;

/** Gives the answer to a small call; `undefined` for a call that is not known. */
export type SmallHandler = (url: string) => SmallAnswer | undefined | Promise<SmallAnswer | undefined>;

async function answer(handler: SmallHandler, message: IncomingMessage, response: ServerResponse): Promise<void> {
    const known = message.method === "GET" ? await handler(message.url ?? "/") : undefined;
    const { status, body } = known ?? { status: STATUS_NOT_FOUND, body: "" };
    const type = body.startsWith("{") ? "application/json" : "text/plain; charset=utf-8";
    response.writeHead(status, { "content-type": type, "content-length": Buffer.byteLength(body) });
    response.end(body);
}

/**
 * Starts a server of small calls.
 *
 * @param listenAddress Where to listen.
 * @param handler Gives the answers.
 * @param onProblem Told of errors of the handler.
 * @returns The running server.
 *
 * @example
 * ```ts
 * const server = await startSmallServer(address, url => url === "/ready" ? { status: 200, body: "" } : undefined, log);
 * server.close();
 * ```
 */
export function startSmallServer(
    listenAddress: ListenAddress,
    handler: SmallHandler,
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
 * Makes a server listen.
 *
 * @returns The server, once it listens.
 * @throws Rejects where the address cannot be used.
 */
export function listen(server: Server, { address, port }: ListenAddress): Promise<Server> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, address, () => {
            server.removeListener("error", reject);
            resolve(server);
        });
    });
}
