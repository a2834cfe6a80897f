/**
 * HTTP server of the peer procedures.
 *
 * @module
 */
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import { createServer, type Server } from "node:http";
import { type AddressInfo } from "node:net";
import { type Endpoint } from "../generated/settings.js";
import { TrackedConnections } from "../transport/index.js";
import { createPeerRouter, type PeerHandlers } from "./router.js";

const MAXIMUM_MESSAGE_BYTES = 2 * 1024 * 1024;
const IDLE_CONNECTION_MILLISECONDS = 15_000;

/** A running server of peer procedures. */
export interface PeerServer {
    readonly port: number;
    /** Stops listening and closes idle connections; resolves once the calls in progress have finished. */
    close(): Promise<void>;
}

function listen(server: Server, endpoint: Endpoint): Promise<number> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(endpoint.port, endpoint.address, () => resolve((server.address() as AddressInfo).port));
    });
}

/**
 * Starts a server of the peer procedures.
 *
 * @param endpoint Address and port to listen on; port 0 chooses a free one.
 * @param handlers Handlers that the procedures call with validated input.
 *
 * @example
 * ```ts
 * const server = await startPeerServer({ address: "127.0.0.1", port: 0 }, handlers);
 * await server.close();
 * ```
 */
export async function startPeerServer(endpoint: Endpoint, handlers: PeerHandlers): Promise<PeerServer> {
    const handler = createHTTPHandler({ router: createPeerRouter(handlers), maxBodySize: MAXIMUM_MESSAGE_BYTES });
    const server = createServer({ keepAliveTimeout: IDLE_CONNECTION_MILLISECONDS }, handler);
    const connections = new TrackedConnections(server);
    const port = await listen(server, endpoint);
    return {
        port,
        close: () => connections.closeServer(),
    };
}
