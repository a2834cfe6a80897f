/**
 * Keeps the header fields of callers' requests within the configured limit.
 *
 * @module
 */
import { type IncomingMessage, type Server, type ServerResponse, STATUS_CODES } from "node:http";
import { type Duplex } from "node:stream";
import { type EntryMetrics, type Logger } from "../observability/index.js";

/** Limit while no configuration is known. */
const DEFAULT_HEADER_BYTES = 16 * 1024;

/** Time in which a caller should close a connection on which it was told that no request is read any more. */
const LINGER_MILLISECONDS = 1_000;

const HEADER_OVERFLOW = "HPE_HEADER_OVERFLOW";
const STATUS_BAD_REQUEST = 400;
const STATUS_REQUEST_TIMEOUT = 408;
const STATUS_BODY_TOO_LARGE = 413;
const STATUS_HEADERS_TOO_LARGE = 431;
const STATUS_UNAVAILABLE = 503;

/** Statuses for bytes that are no proper request, by error code; all others are bad requests. */
const STATUS_OF_ERROR: Readonly<Record<string, number>> = {
    ERR_HTTP_REQUEST_TIMEOUT: STATUS_REQUEST_TIMEOUT,
    HPE_CHUNK_EXTENSIONS_OVERFLOW: STATUS_BODY_TOO_LARGE,
    [HEADER_OVERFLOW]: STATUS_HEADERS_TOO_LARGE,
};

/** A caller's connection. */
interface CallerConnection {
    /** Limit with which its bytes are read; it is fixed when the connection begins. */
    readonly readLimitBytes: number;
    readonly openResponses: Set<ServerResponse>;
    /** True once bytes that cannot be read were answered; what still arrives is discarded. */
    isAnswered: boolean;
}

/** Options of {@linkcode HeaderLimit}. */
export interface HeaderLimitOptions {
    readonly logger: Logger;
    readonly metrics: EntryMetrics;
}

/** Returns the length of a request's URL and of the names and values of its header fields, without separators. */
function headerBytes({ rawHeaders, url = "" }: IncomingMessage): number {
    return rawHeaders.reduce((total, text) => total + text.length, url.length);
}

function answerText(status: number, fields: readonly string[]): string {
    return [
        `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ""}`,
        "Connection: close",
        "Content-Length: 0",
        ...fields,
        "",
        "",
    ].join("\r\n");
}

/**
 * Applies the limit of the configuration in force to each request of a server. The server's parser bounds what is
 * buffered of a head, by the limit that held when its connection began. Where the limit was raised since, a longer head
 * is answered as one that the caller may send again on a new connection; where it was lowered, the head is measured.
 *
 * @example
 * ```ts
 * const headerLimit = new HeaderLimit(server, { logger, metrics });
 * headerLimit.set(40_000);
 * server.on("request", (message, response) => headerLimit.accepts(message, response) && forward(message, response));
 * ```
 */
export class HeaderLimit {
    readonly #server: Server;
    readonly #options: HeaderLimitOptions;
    readonly #connections = new WeakMap<Duplex, CallerConnection>();
    #limitBytes: number | undefined;

    constructor(server: Server, options: HeaderLimitOptions) {
        this.#server = server;
        this.#options = options;
        this.#setReadLimit(DEFAULT_HEADER_BYTES);
        server.on("connection", (socket: Duplex) => void this.#connectionOf(socket));
        server.on("clientError", (error: NodeJS.ErrnoException, socket: Duplex) => this.#handleError(error, socket));
    }

    /** Sets the limit of the configuration in force. */
    set(limitBytes: number): void {
        this.#limitBytes = limitBytes;
        this.#setReadLimit(limitBytes);
    }

    /** Returns whether a request is within the limit; answers one that is not. */
    accepts(message: IncomingMessage, response: ServerResponse): boolean {
        const { openResponses, readLimitBytes } = this.#connectionOf(message.socket);
        openResponses.add(response);
        response.on("close", () => openResponses.delete(response));
        const limitBytes = this.#limitBytes ?? DEFAULT_HEADER_BYTES;
        if (readLimitBytes <= limitBytes || headerBytes(message) <= limitBytes) {
            return true;
        }
        this.#reportRefused(STATUS_HEADERS_TOO_LARGE);
        response.writeHead(STATUS_HEADERS_TOO_LARGE, { "connection": "close", "content-length": 0 });
        response.end();
        return false;
    }

    /** Sets the limit with which connections that begin from now on are read; the parser refuses what reaches its own. */
    #setReadLimit(limitBytes: number): void {
        Object.assign(this.#server, { maxHeaderSize: limitBytes + 1 });
    }

    #connectionOf(socket: Duplex): CallerConnection {
        const known = this.#connections.get(socket);
        if (known !== undefined) {
            return known;
        }
        const readLimitBytes = this.#limitBytes ?? DEFAULT_HEADER_BYTES;
        const connection = { readLimitBytes, openResponses: new Set<ServerResponse>(), isAnswered: false };
        this.#connections.set(socket, connection);
        return connection;
    }

    /** Answers bytes that are no proper request and closes their connection. */
    #handleError(error: NodeJS.ErrnoException, socket: Duplex): void {
        const connection = this.#connectionOf(socket);
        if (connection.isAnswered) {
            return;
        }
        connection.isAnswered = true;
        if (!socket.writable || this.#wouldAnswerAnother(error, connection)) {
            socket.destroy(error);
            return;
        }
        const status = this.#statusOf(error, connection);
        if (error.code === HEADER_OVERFLOW) {
            this.#reportRefused(status);
        }
        socket.end(answerText(status, status === STATUS_UNAVAILABLE ? ["Retry-After: 0"] : []));
        setTimeout(() => socket.destroy(), LINGER_MILLISECONDS).unref();
    }

    /** Returns whether the caller would take the answer for that, or for a part of that, to an earlier request. */
    #wouldAnswerAnother({ code }: NodeJS.ErrnoException, { openResponses }: CallerConnection): boolean {
        return code === HEADER_OVERFLOW
            ? openResponses.size > 0
            : [...openResponses].some(({ headersSent }) => headersSent);
    }

    /** Returns the status for an error; one that allows another try where the limit of the configuration is higher. */
    #statusOf({ code = "" }: NodeJS.ErrnoException, { readLimitBytes }: CallerConnection): number {
        const isOutdated = this.#limitBytes === undefined || readLimitBytes < this.#limitBytes;
        return code === HEADER_OVERFLOW && isOutdated
            ? STATUS_UNAVAILABLE
            : STATUS_OF_ERROR[code] ?? STATUS_BAD_REQUEST;
    }

    #reportRefused(status: number): void {
        const { logger, metrics } = this.#options;
        const reason = status === STATUS_UNAVAILABLE ? "header-limit-raised" : "headers-too-large";
        logger.info("request rejected", { reason, status, limitBytes: this.#limitBytes });
        metrics.count("refusals", { reason });
    }
}
