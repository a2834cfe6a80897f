/**
 * An HTTP server that crashes and listens again, and that can stop reading.
 *
 * @module
 */
import { createServer, type RequestListener, type Server } from "node:http";
import { type AddressInfo, type Socket } from "node:net";

const KEEP_ALIVE_MILLISECONDS = 5_000;

/** More than a configuration of a test allows to callers. */
const MAXIMUM_HEADER_BYTES = 1024 * 1024;

/** Listens on a loopback port; a crash resets its connections. */
export class RestartableServer {
    readonly #handle: RequestListener;
    readonly #sockets = new Set<Socket>();
    #server: Server | undefined;
    #port = 0;
    #reads = true;

    constructor(handle: RequestListener) {
        this.#handle = handle;
    }

    get address(): string {
        return `127.0.0.1:${this.#port}`;
    }

    get isListening(): boolean {
        return this.#server !== undefined;
    }

    /** Listens on a free port, and after a crash on the same port where it is still free. */
    async listen(): Promise<void> {
        await this.#listenOn(this.#port).catch(() => this.#listenOn(0));
    }

    /** Reads nothing before `resume`; connections are still accepted, as the kernel does for a stopped process. */
    pause(): void {
        this.#reads = false;
        this.#sockets.forEach(socket => socket.pause());
    }

    resume(): void {
        this.#reads = true;
        this.#sockets.forEach(socket => socket.resume());
    }

    /** Resets all connections, and listens no more. */
    crash(): void {
        this.#reads = true;
        this.#sockets.forEach(socket => socket.resetAndDestroy());
        this.#server?.close();
        this.#server = undefined;
    }

    async close(): Promise<void> {
        const server = this.#server;
        this.#server = undefined;
        server?.closeAllConnections();
        await new Promise<void>(resolve => server === undefined ? resolve() : server.close(() => resolve()));
    }

    async #listenOn(port: number): Promise<void> {
        const server = createServer(
            { keepAliveTimeout: KEEP_ALIVE_MILLISECONDS, maxHeaderSize: MAXIMUM_HEADER_BYTES },
            this.#handle,
        );
        // Node would drop fields beyond a number of them.
        server.maxHeadersCount = 0;
        server.on("connection", socket => {
            this.#sockets.add(socket);
            if (!this.#reads) {
                socket.pause();
            }
            socket.on("close", () => this.#sockets.delete(socket));
        });
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(port, "127.0.0.1", resolve);
        });
        this.#server = server;
        this.#port = (server.address() as AddressInfo).port;
    }
}
