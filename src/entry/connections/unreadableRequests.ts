/**
 * Answers bytes that are no proper request, and requests for a tunnel.
 *
 * @module
 */
import { type IncomingMessage, type Server } from "node:http";
import { type Socket } from "node:net";
import { type Duplex } from "node:stream";
import { type EntryMetrics, type Logger } from "../../observability/index.js";
import { type Acts } from "../actQueue.js";
import { type CallerConnection } from "./callerConnection.js";
import { type HeaderLimit } from "./headerLimit.js";
import { renderRawAnswer } from "./rawAnswer.js";

const HEADER_OVERFLOW = "HPE_HEADER_OVERFLOW";
const REQUEST_TIMEOUT = "ERR_HTTP_REQUEST_TIMEOUT";
const STATUS_BAD_REQUEST = 400;
const STATUS_METHOD_NOT_ALLOWED = 405;
const STATUS_REQUEST_TIMEOUT = 408;
const STATUS_BODY_TOO_LARGE = 413;
const STATUS_HEADERS_TOO_LARGE = 431;
const STATUS_UNAVAILABLE = 503;

const ALLOWED_METHODS = "GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS";

/** Statuses for bytes that are no proper request, by error code; all others are bad requests. */
const STATUS_OF_ERROR: Readonly<Record<string, number>> = {
    [REQUEST_TIMEOUT]: STATUS_REQUEST_TIMEOUT,
    HPE_CHUNK_EXTENSIONS_OVERFLOW: STATUS_BODY_TOO_LARGE,
    [HEADER_OVERFLOW]: STATUS_HEADERS_TOO_LARGE,
};

/** Options of {@linkcode answerUnreadableRequests}. */
export interface UnreadableRequestsOptions {
    readonly acts: Pick<Acts, "afterReading">;
    readonly server: Server;
    readonly headerLimit: HeaderLimit;
    readonly connectionOf: (socket: Duplex) => CallerConnection;
    readonly logger: Logger;
    readonly metrics: EntryMetrics;
}

/** A caller's socket is one of a network, which Node's types do not say. */
function bytesReadFrom(socket: Duplex): number {
    return (socket as Duplex & Pick<Socket, "bytesRead">).bytesRead;
}

class UnreadableRequests {
    readonly #options: UnreadableRequestsOptions;

    constructor(options: UnreadableRequestsOptions) {
        this.#options = options;
    }

    handleError(error: NodeJS.ErrnoException, socket: Duplex): void {
        if (error.code === REQUEST_TIMEOUT) {
            this.#handleTimeout(error, socket);
        }
        else {
            this.#answer(error, socket);
        }
    }

    /**
     * Node looks at the time before it reads the sockets, and only once: where bytes that it missed have arrived, the
     * connection has the time limit of a head once more.
     */
    #handleTimeout(error: NodeJS.ErrnoException, socket: Duplex): void {
        const { acts, connectionOf, server } = this.#options;
        const bytesBefore = bytesReadFrom(socket);
        const headsBefore = connectionOf(socket).headCount;
        acts.afterReading(() => {
            if (bytesReadFrom(socket) === bytesBefore) {
                this.#answer(error, socket);
                return;
            }
            const timer = setTimeout(() => {
                if (connectionOf(socket).headCount === headsBefore) {
                    this.#answer(error, socket);
                }
            }, server.headersTimeout);
            socket.once("close", () => clearTimeout(timer));
        });
    }

    #answer(error: NodeJS.ErrnoException, socket: Duplex): void {
        const connection = this.#options.connectionOf(socket);
        const hasCallerLeft = socket.readableEnded && connection.hasAnswerDue;
        if (hasCallerLeft) {
            socket.destroy(error);
            return;
        }
        if (connection.isEnding || (error.code === REQUEST_TIMEOUT && connection.isReadingPaused)) {
            return;
        }
        if (!socket.writable) {
            socket.destroy(error);
            return;
        }
        const status = this.#statusOf(error, socket);
        if (error.code === HEADER_OVERFLOW) {
            this.#reportRefused(status);
        }
        const headers = status === STATUS_UNAVAILABLE ? { "Retry-After": "0" } : {};
        connection.endWith(renderRawAnswer({ status, headers }));
    }

    /** Node hands the connection over without the listeners of its own that would notice its end. */
    refuseTunnel(socket: Duplex): void {
        socket.on("error", () => socket.destroy());
        socket.on("end", () => socket.destroy());
        socket.resume();
        this.#options.logger.info("request rejected", {
            reason: "method-not-allowed",
            status: STATUS_METHOD_NOT_ALLOWED,
        });
        this.#options.metrics.count("refusals", { reason: "method-not-allowed" });
        const headers = { Allow: ALLOWED_METHODS };
        this.#options.connectionOf(socket).endWith(renderRawAnswer({ status: STATUS_METHOD_NOT_ALLOWED, headers }));
    }

    /** Returns the status for an error; one that allows another try where the limit of the configuration is higher. */
    #statusOf({ code = "" }: NodeJS.ErrnoException, socket: Duplex): number {
        return code === HEADER_OVERFLOW && this.#options.headerLimit.isOutdated(socket)
            ? STATUS_UNAVAILABLE
            : STATUS_OF_ERROR[code] ?? STATUS_BAD_REQUEST;
    }

    #reportRefused(status: number): void {
        const { headerLimit, logger, metrics } = this.#options;
        const reason = status === STATUS_UNAVAILABLE ? "header-limit-raised" : "headers-too-large";
        logger.info("request rejected", { reason, status, limitBytes: headerLimit.limitBytes });
        metrics.count("refusals", { reason });
    }
}

/**
 * Answers, behind the requests before them, what a server cannot read as a request, and closes the connection. Where the
 * header limit was raised since the connection began, a longer head is answered as one that the caller may send again
 * on a new connection.
 *
 * @param options The server, its header limit and its connections.
 *
 * @example
 * ```ts
 * answerUnreadableRequests({ acts, server, headerLimit, connectionOf, logger, metrics });
 * ```
 */
export function answerUnreadableRequests(options: UnreadableRequestsOptions): void {
    const requests = new UnreadableRequests(options);
    options.server.on(
        "clientError",
        (error: NodeJS.ErrnoException, socket: Duplex) => requests.handleError(error, socket),
    );
    options.server.on("connect", (_message: IncomingMessage, socket: Duplex) => requests.refuseTunnel(socket));
}
