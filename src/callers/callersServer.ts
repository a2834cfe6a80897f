/**
 * Serves the callers' application over HTTP.
 *
 * @module
 */
import { createAdaptorServer } from "@hono/node-server";
import { type Server } from "node:http";
import { type AddressInfo, type Socket } from "node:net";
import { type Endpoint, type Limits } from "../generated/settings.js";
import { TrackedConnections } from "../transport/index.js";
import { createCallersApplication } from "./application.js";
import { type CallerHandlers } from "./types.js";

const HEADERS_TIMEOUT_MILLISECONDS = 10_000;
const REQUEST_TIMEOUT_MILLISECONDS = 60_000;
const IDLE_CONNECTION_MILLISECONDS = 30_000;
const KEEP_ALIVE_PROBE_MILLISECONDS = 15_000;

/** A running HTTP server for callers. */
export interface CallersServer {
    readonly port: number;
    /** Stops listening and closes connections as they become idle; answers in progress are written first. */
    close(): Promise<void>;
    /** Closes all connections immediately. */
    abort(): void;
}

/**
 * Starts the HTTP server for callers.
 *
 * @param endpoint The address and port to listen on; port 0 selects a free port.
 * @param options The handlers of the requests, and limits.
 *
 * @example
 * ```ts
 * const server = await startCallersServer({ address: "127.0.0.1", port: 8080 }, { handlers, limits });
 * ```
 */
export async function startCallersServer(
    endpoint: Endpoint,
    options: { readonly handlers: CallerHandlers; readonly limits: Limits; },
): Promise<CallersServer> {
    const application = createCallersApplication(options.handlers, options.limits);
    const server = createAdaptorServer({
        fetch: application.fetch,
        serverOptions: {
            maxHeaderSize: options.limits.headerBytes,
            headersTimeout: HEADERS_TIMEOUT_MILLISECONDS,
            requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
            keepAliveTimeout: IDLE_CONNECTION_MILLISECONDS,
        },
    }) as Server;
    const connections = new TrackedConnections(server);
    server.maxConnections = options.limits.openStreams;
    server.on("connection", (socket: Socket) => {
        socket.setNoDelay(true);
        socket.setKeepAlive(true, KEEP_ALIVE_PROBE_MILLISECONDS);
    });
    const port = await new Promise<number>((resolve, reject) => {
        server.once("error", reject);
        server.listen(endpoint.port, endpoint.address, () => resolve((server.address() as AddressInfo).port));
    });
    let closing: Promise<void> | undefined;
    return {
        port,
        close: () => closing ??= connections.closeServer(),
        abort: () => server.closeAllConnections(),
    };
}
