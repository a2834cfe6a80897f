/**
 * A server that writes to its connections whatever a test says.
 *
 * @module
 */
import assert from "node:assert/strict";
import { createServer, type Socket } from "node:net";

/** A running server. */
export interface RawServer {
    readonly address: string;
    /** Connections that are open. */
    readonly sockets: ReadonlySet<Socket>;
    close(): void;
}

/**
 * Starts the server.
 *
 * @param onData Called with what a connection brings.
 */
export async function startRawServer(onData: (socket: Socket, piece: Buffer) => void): Promise<RawServer> {
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("close", () => sockets.delete(socket));
        socket.on("data", (piece: Buffer) => onData(socket, piece));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = server.address();
    assert.ok(address !== null && typeof address === "object");
    return {
        address: `127.0.0.1:${address.port}`,
        sockets,
        close: () => {
            sockets.forEach(socket => socket.destroy());
            server.close();
        },
    };
}
