/**
 * The callers' connections of a host.
 *
 * @module
 */
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type Duplex } from "node:stream";
import { type MemoryBudget } from "../../memory/index.js";
import { type EntryMetrics, type Logger } from "../../observability/index.js";
import { type CallerLimits } from "../../routes/index.js";
import { type ReadTimes } from "../../staleness/index.js";
import { type Acts } from "../actQueue.js";
import { type Arrival, type RequestProblem } from "./arrival.js";
import { Arrivals } from "./arrivals.js";
import { CallerConnection } from "./callerConnection.js";
import { RequestMemory } from "./requestMemory.js";
import { UnreadTimes } from "./unreadTimes.js";

/** Limit on callers' bodies while no configuration is known. */
const DEFAULT_BODY_BYTES = 4 * 1024 * 1024;

/** Time without a byte after which a body is given up, while no configuration is known. */
const DEFAULT_IDLE_TIMEOUT_MILLISECONDS = 15_000;

/** Requests that are open at once; their share of the heap, whose limit is the same on every machine. */
const MAXIMUM_OPEN_REQUESTS = 5_000;

/** Limits on callers' bodies. */
type BodyLimits = Pick<CallerLimits, "bodyBytes" | "idleTimeoutMilliseconds">;

/** Handles the requests of all connections. */
export interface RequestHandler {
    /** Names of the header fields that are kept of a request which is refused, in lower case. */
    readonly keptHeaders: readonly string[];
    /** Returns why a request whose head was read is rejected without its body; `undefined` for others. */
    findProblem(message: IncomingMessage): RequestProblem | undefined;
    /** Handles a request whose caller is connected, and which is the next to be answered on its connection. */
    begin(arrival: Arrival): void;
    /** Records a request whose caller left before it was handled. */
    recordCallerLeft(arrival: Arrival): void;
    /** Records requests whose connection has closed before they were answered whole. */
    recordUnanswered(messages: readonly IncomingMessage[]): void;
    /** Returns the bytes that refuse a request which was read after the head of its connection's last answer. */
    refuseAfterLast(message: IncomingMessage): string;
}

/** Options of {@linkcode CallerConnections}. */
export interface CallerConnectionsOptions {
    readonly acts: Acts;
    readonly handler: RequestHandler;
    /** Returns whether something was read from a connection and is not yet parsed. */
    readonly hasUnparsed: (socket: Duplex) => boolean;
    readonly logger: Logger;
    readonly memory: MemoryBudget;
    readonly metrics: EntryMetrics;
    readonly reads: Pick<ReadTimes, "readUntilMilliseconds">;
    readonly readClock: () => number;
}

/**
 * Reads the requests of callers, and hands those of one connection to the handler one after another.
 *
 * @example
 * ```ts
 * const connections = new CallerConnections({ acts, handler, hasUnparsed, logger, memory, metrics, reads, readClock });
 * server.on("connection", socket => connections.recordAccepted(socket));
 * server.on("request", (message, response) => connections.add(message, response));
 * ```
 */
export class CallerConnections {
    readonly #options: CallerConnectionsOptions;
    readonly #arrivals: Arrivals;
    readonly #unreadTimes: UnreadTimes;
    readonly #memory: RequestMemory;
    readonly #connections = new Map<Duplex, CallerConnection>();
    #limits: BodyLimits = { bodyBytes: DEFAULT_BODY_BYTES, idleTimeoutMilliseconds: DEFAULT_IDLE_TIMEOUT_MILLISECONDS };
    #isClosing = false;
    #openRequests = 0;

    constructor(options: CallerConnectionsOptions) {
        const { acts, handler } = options;
        this.#options = options;
        this.#unreadTimes = new UnreadTimes(options);
        this.#memory = new RequestMemory(options);
        this.#arrivals = new Arrivals({
            acts,
            onBegin: arrival => handler.begin(arrival),
            onCallerLeft: arrival => handler.recordCallerLeft(arrival),
        });
    }

    /** Number of requests whose answer has not yet been sent whole. */
    get openRequestCount(): number {
        let count = 0;
        for (const connection of this.#connections.values()) {
            count += connection.openRequestCount;
        }
        return count;
    }

    /** Sets the limits on bodies of the configuration in force, for requests that arrive from now on. */
    setLimits(limits: BodyLimits): void {
        this.#limits = limits;
    }

    /** Makes each answer the last one of its connection; requests that wait behind it are refused. */
    refuseWaiting(): void {
        this.#isClosing = true;
    }

    /** Records that a connection was accepted, before anything is read from it. */
    recordAccepted(socket: Duplex): void {
        this.#unreadTimes.recordAccepted(socket);
    }

    /** Adds a request whose head was read. */
    add(message: IncomingMessage, response: ServerResponse, problem?: RequestProblem): void {
        const { logger, metrics, readClock } = this.#options;
        const connection = this.of(message.socket);
        response.on("error", error => logger.debug("caller's connection failed", { error: error.message }));
        if (connection.openRequestCount > 0) {
            metrics.count("overlapping_requests", {});
        }
        this.#openRequests += 1;
        connection.add({
            message,
            response,
            problem: problem ?? this.#findProblem(message),
            onEnded: () => {
                this.#openRequests -= 1;
            },
            arrivedAtMilliseconds: readClock(),
            longestUnreadMilliseconds: this.#unreadTimes.longestMilliseconds(message.socket),
            bodyLimitBytes: this.#limits.bodyBytes,
            idleTimeoutMilliseconds: this.#limits.idleTimeoutMilliseconds,
        });
    }

    #findProblem(message: IncomingMessage): RequestProblem | undefined {
        return this.#openRequests > MAXIMUM_OPEN_REQUESTS
            ? "no-room-for-bodies"
            : this.#options.handler.findProblem(message);
    }

    /** Returns the connection of a socket. */
    of(socket: Duplex): CallerConnection {
        const known = this.#connections.get(socket);
        if (known !== undefined) {
            return known;
        }
        const { handler } = this.#options;
        const connection = new CallerConnection(socket, {
            acts: this.#options.acts,
            memory: this.#memory,
            keptHeaders: handler.keptHeaders,
            isClosing: () => this.#isClosing,
            hasUnparsed: () => this.#options.hasUnparsed(socket),
            onTurn: arrival => this.#arrivals.add(arrival),
            refuseAfterLast: message => handler.refuseAfterLast(message),
            onUnanswered: messages => handler.recordUnanswered(messages),
        });
        this.#connections.set(socket, connection);
        socket.once("close", () => this.#connections.delete(socket));
        return connection;
    }
}
