/**
 * Keeps the header fields of callers' requests within the configured limit.
 *
 * @module
 */
import { type IncomingMessage, type Server } from "node:http";
import { type Duplex } from "node:stream";
import { headBytes } from "./_requestHead.js";

/** Limit while no configuration is known. */
const DEFAULT_HEADER_BYTES = 16 * 1024;

/**
 * Applies the limit of the configuration in force to each request of a server. The server's parser bounds what is
 * buffered of a head, by the limit that held when its connection began; where the limit was lowered since, the head is
 * measured.
 *
 * @example
 * ```ts
 * const headerLimit = new HeaderLimit(server);
 * headerLimit.set(40_000);
 * server.on("request", message => console.log(headerLimit.accepts(message)));
 * ```
 */
export class HeaderLimit {
    readonly #server: Server;
    /** The limit with which each connection is read; it is fixed when the connection begins. */
    readonly #readLimits = new WeakMap<Duplex, number>();
    #limitBytes: number | undefined;

    constructor(server: Server) {
        this.#server = server;
        this.#setReadLimit(DEFAULT_HEADER_BYTES);
        server.on("connection", (socket: Duplex) => void this.#readLimitOf(socket));
    }

    /** The limit of the configuration in force; `undefined` while none is known. */
    get limitBytes(): number | undefined {
        return this.#limitBytes;
    }

    /** Sets the limit of the configuration in force. */
    set(limitBytes: number): void {
        this.#limitBytes = limitBytes;
        this.#setReadLimit(limitBytes);
    }

    /** Returns whether a request is within the limit. */
    accepts(message: IncomingMessage): boolean {
        const limitBytes = this.#limitBytes ?? DEFAULT_HEADER_BYTES;
        return this.#readLimitOf(message.socket) <= limitBytes || headBytes(message) <= limitBytes;
    }

    /** Returns whether a head that is too long on this connection may be within the limit on a new one. */
    isOutdated(socket: Duplex): boolean {
        return this.#limitBytes === undefined || this.#readLimitOf(socket) < this.#limitBytes;
    }

    /** Sets the limit with which connections that begin from now on are read; the parser refuses what reaches its own. */
    #setReadLimit(limitBytes: number): void {
        Object.assign(this.#server, { maxHeaderSize: limitBytes + 1 });
    }

    #readLimitOf(socket: Duplex): number {
        const known = this.#readLimits.get(socket);
        if (known !== undefined) {
            return known;
        }
        const readLimitBytes = this.#limitBytes ?? DEFAULT_HEADER_BYTES;
        this.#readLimits.set(socket, readLimitBytes);
        return readLimitBytes;
    }
}
