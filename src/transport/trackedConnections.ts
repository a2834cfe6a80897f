/**
 * Stops an HTTP server without cutting off answers.
 *
 * @module
 */
import { type Server } from "node:http";
import { Server as ListeningServer, type Socket } from "node:net";

/** Interval at which a stopping server looks for connections that have become idle. */
const IDLE_CHECK_MILLISECONDS = 50;

/** What is in progress on a connection. */
interface ConnectionUse {
    /** Requests that were read and whose answers are not completely written yet, overlapping ones included. */
    openRequests: number;
    /** Bytes that had been read when the last answer ended; 0 before the first request. */
    readBytesWhenIdle: number;
}

/** A part of a next request may have been read already, although no answer is in progress. */
function isIdle(socket: Socket, { openRequests, readBytesWhenIdle }: ConnectionUse): boolean {
    return openRequests === 0 && socket.bytesRead === readBytesWhenIdle;
}

/**
 * The connections of an HTTP server, with the requests in progress on each. The server's own `closeIdleConnections`
 * counts a connection as idle once its answer has ended, although a part of it was not written yet.
 *
 * @example
 * ```ts
 * const connections = new TrackedConnections(server);
 * await connections.closeServer();
 * ```
 */
export class TrackedConnections {
    readonly #server: Server;
    readonly #connections = new Map<Socket, ConnectionUse>();

    /** Tracks the connections of a server that does not listen yet. */
    constructor(server: Server) {
        this.#server = server;
        server.on("connection", socket => this.#add(socket));
        server.prependListener("request", (request, response) => {
            const use = this.#add(request.socket);
            use.openRequests += 1;
            response.once("close", () => {
                use.openRequests -= 1;
                use.readBytesWhenIdle = request.socket.bytesRead;
            });
        });
    }

    /** Stops listening, closes connections as they become idle, and resolves when none is open. */
    closeServer(): Promise<void> {
        return new Promise(resolve => {
            const timer = setInterval(() => this.#closeIdle(), IDLE_CHECK_MILLISECONDS);
            // The `close` of an HTTP server closes connections that it takes for idle, so it is called last.
            ListeningServer.prototype.close.call(this.#server, () => {
                clearInterval(timer);
                this.#server.close();
                resolve();
            });
            this.#closeIdle();
        });
    }

    #add(socket: Socket): ConnectionUse {
        const known = this.#connections.get(socket);
        if (known !== undefined) {
            return known;
        }
        const use = { openRequests: 0, readBytesWhenIdle: 0 };
        this.#connections.set(socket, use);
        socket.once("close", () => this.#connections.delete(socket));
        return use;
    }

    #closeIdle(): void {
        for (const [socket, use] of this.#connections) {
            if (isIdle(socket, use)) {
                socket.destroy();
            }
        }
    }
}
