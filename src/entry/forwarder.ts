/**
 * Accepts callers' requests and starts an exchange for each.
 *
 * @module
 */
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type Route } from "../routes/index.js";
import { type Arrival, Arrivals } from "./_arrivals.js";
import { UnansweredRequests } from "./connections/index.js";
import { type CallerRequest, compareRanks, Exchange, OTHER_HOST_MILLISECONDS } from "./exchange/index.js";
import { type ForwardingContext } from "./forwardingContext.js";

const STATUS_BAD_REQUEST = 400;
const STATUS_NOT_FOUND = 404;
const STATUS_TOO_LARGE = 413;
const STATUS_UNAVAILABLE = 503;

const MILLISECONDS_PER_SECOND = 1_000;

/** Time in which an engine prefills enough of its backlog to accept another prompt. */
const PREFILL_RECHECK_MILLISECONDS = 10;

/** Longer paths are truncated in log lines. */
const MAXIMUM_LOGGED_PATH_CHARACTERS = 100;

/** A log line names at most this many requests. */
const MAXIMUM_LOGGED_REQUESTS = 8;

/** Limit on callers' bodies while no configuration is known. */
const DEFAULT_BODY_BYTES = 4 * 1024 * 1024;

/** Forwards the requests of callers. */
export interface Forwarder {
    handle(message: IncomingMessage, response: ServerResponse): void;
    /** Number of requests whose answer has not yet been sent whole. */
    readonly openRequestCount: number;
    /** Dispatches waiting requests again, the most urgent first. */
    wake(): void;
    /** Ends every open request at once. */
    abortAll(): void;
}

/** Reads a body and calls back once; with `too-large` beyond the limit, `caller-left` if the request is aborted. */
function readBody(
    message: IncomingMessage,
    limit: number,
    onBody: (body: Buffer | "too-large" | "caller-left") => void,
): void {
    const chunks: Buffer[] = [];
    let length = 0;
    let settled = false;
    const settle = (body: Buffer | "too-large" | "caller-left"): void => {
        if (!settled) {
            settled = true;
            onBody(body);
        }
    };
    message.on("data", (chunk: Buffer) => {
        length += chunk.length;
        if (length > limit) {
            settle("too-large");
            return;
        }
        chunks.push(chunk);
    });
    message.on("end", () => settle(Buffer.concat(chunks)));
    message.on("error", () => settle("caller-left"));
    message.on("close", () => settle("caller-left"));
}

class RunningForwarder implements Forwarder {
    readonly #context: ForwardingContext;
    readonly #exchanges = new Set<Exchange>();
    /** Responses of which a part may still have to be sent. */
    readonly #openResponses = new Set<ServerResponse>();
    readonly #arrivals = new Arrivals({
        onBegin: arrival => this.#begin(arrival),
        onCallerLeft: arrival => this.#recordCallerLeft(arrival),
    });
    readonly #unanswered = new UnansweredRequests(messages => this.#logUnanswered(messages));
    #wakeScheduled = false;
    #prefillTimer: NodeJS.Timeout | undefined;

    constructor(context: ForwardingContext) {
        this.#context = context;
    }

    get openRequestCount(): number {
        return this.#openResponses.size;
    }

    handle(message: IncomingMessage, response: ServerResponse): void {
        const arrivedAtMilliseconds = this.#context.readClock();
        this.#openResponses.add(response);
        response.on("close", () => this.#openResponses.delete(response));
        const unansweredBefore = this.#unanswered.add(message);
        response.on("finish", () => this.#unanswered.delete(message));
        const table = this.#context.routeTable();
        const limit = table?.configuration.limits.bodyBytes ?? DEFAULT_BODY_BYTES;
        response.on(
            "error",
            error => this.#context.logger.debug("caller's connection failed", { error: error.message }),
        );
        readBody(message, limit, body => {
            if (body === "caller-left") {
                return;
            }
            if (body === "too-large") {
                this.#reject(message, response, STATUS_TOO_LARGE, "body-too-large");
                return;
            }
            this.#arrivals.add({ message, response, body, arrivedAtMilliseconds, unansweredBefore });
        });
    }

    wake(): void {
        const waiting = [...this.#exchanges].filter(({ isWaiting }) => isWaiting);
        waiting.sort((left, right) => compareRanks(left.rank, right.rank));
        const unmetKeys = new Set<string>();
        for (const exchange of waiting) {
            const { waitKey } = exchange;
            if (waitKey !== undefined && unmetKeys.has(waitKey)) {
                continue;
            }
            exchange.dispatch();
            if (waitKey !== undefined && exchange.isWaiting) {
                unmetKeys.add(waitKey);
            }
        }
    }

    abortAll(): void {
        clearTimeout(this.#prefillTimer);
        for (const exchange of [...this.#exchanges]) {
            exchange.abort();
        }
    }

    #recordCallerLeft({ message, unansweredBefore }: Arrival): void {
        const { destroyed, readableEnded } = message.socket;
        const isConnected = !destroyed && !readableEnded;
        this.#recordRejected(message, "caller-left", undefined, { isConnected, unansweredBefore });
    }

    /** Logs requests whose connection has closed before they were answered whole. */
    #logUnanswered(messages: readonly IncomingMessage[]): void {
        const identifiers = messages.map(({ headers }) => headers[this.#context.headers.requestId]);
        this.#context.logger.info("connection closed before answers", {
            requests: identifiers.slice(0, MAXIMUM_LOGGED_REQUESTS).join(" "),
            count: messages.length,
            readWhole: messages.filter(({ complete }) => complete).length,
            isLeaving: this.#context.isLeaving(),
        });
    }

    #begin({ message, response, body, arrivedAtMilliseconds }: Arrival): void {
        const table = this.#context.routeTable();
        if (table === undefined) {
            this.#reject(message, response, STATUS_UNAVAILABLE, "no-configuration");
            return;
        }
        if (this.#context.isClosedToCallers()) {
            this.#reject(message, response, STATUS_UNAVAILABLE, "host-leaving");
            return;
        }
        if (this.#context.isPartitioned()) {
            this.#reject(message, response, STATUS_UNAVAILABLE, "host-partitioned");
            return;
        }
        const requestId = message.headers[this.#context.headers.requestId];
        if (typeof requestId !== "string" || requestId === "") {
            this.#reject(message, response, STATUS_BAD_REQUEST, "no-request-identifier");
            return;
        }
        const path = (message.url ?? "/").split("?")[0] ?? "/";
        const route = table.match(message.headers.host ?? "", path);
        if (route === undefined) {
            this.#reject(message, response, STATUS_NOT_FOUND, "no-route");
            return;
        }
        this.#start({ message, response, body, requestId, arrivedAtMilliseconds }, route, table.version);
    }

    #start(
        parts: Omit<CallerRequest, "route" | "configurationVersion">,
        route: Route,
        configurationVersion: number,
    ): void {
        this.#context.metrics.count("requests", { kind: route.kind });
        const exchange: Exchange = new Exchange(
            this.#context,
            { ...parts, route, configurationVersion },
            {
                onEnded: () => {
                    this.#exchanges.delete(exchange);
                    this.#scheduleWake();
                },
                onPrefillWait: () => this.#scheduleWakeAfterPrefill(),
            },
        );
        this.#exchanges.add(exchange);
        exchange.start();
    }

    /** Wakes waiting requests after one has ended and freed a slot; once for several that end together. */
    #scheduleWake(): void {
        if (!this.#wakeScheduled) {
            this.#wakeScheduled = true;
            setImmediate(() => {
                this.#wakeScheduled = false;
                this.wake();
            });
        }
    }

    /** Wakes requests that wait for prefill after a short delay, with one timer, since backlogs shrink constantly. */
    #scheduleWakeAfterPrefill(): void {
        this.#prefillTimer ??= setTimeout(() => {
            this.#prefillTimer = undefined;
            this.wake();
        }, PREFILL_RECHECK_MILLISECONDS);
    }

    /** Logs and counts a request that is rejected before it begins; no status where the caller has left. */
    #recordRejected(
        message: IncomingMessage,
        reason: string,
        status: number | undefined,
        details: Readonly<Record<string, unknown>> = {},
    ): void {
        const requestId = message.headers[this.#context.headers.requestId];
        this.#context.logger.info("request rejected", {
            request: typeof requestId === "string" ? requestId : undefined,
            reason,
            status,
            path: message.url?.slice(0, MAXIMUM_LOGGED_PATH_CHARACTERS),
            configurationVersion: this.#context.routeTable()?.version,
            ...details,
        });
        this.#context.metrics.count("refusals", { reason });
    }

    #reject(message: IncomingMessage, response: ServerResponse, status: number, reason: string): void {
        const { headers } = this.#context;
        const requestId = message.headers[headers.requestId];
        this.#recordRejected(message, reason, status);
        if (response.headersSent || response.destroyed) {
            return;
        }
        const body = JSON.stringify({ reason, ran: "not-run" });
        const identifierHeaders = typeof requestId === "string" ? { [headers.requestId]: requestId } : {};
        const retryHeaders = status === STATUS_UNAVAILABLE
            ? { "retry-after": String(OTHER_HOST_MILLISECONDS / MILLISECONDS_PER_SECOND) }
            : {};
        const connectionHeaders = status === STATUS_TOO_LARGE || this.#context.closesConnections()
            ? { connection: "close" }
            : {};
        response.writeHead(status, {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(body),
            ...identifierHeaders,
            ...retryHeaders,
            ...connectionHeaders,
        });
        response.end(body);
    }
}

/**
 * Creates the forwarder of a host.
 *
 * @param context State, counters and services that requests share.
 *
 * @example
 * ```ts
 * const forwarder = createForwarder(context);
 * server.on("request", (message, response) => forwarder.handle(message, response));
 * ```
 */
export function createForwarder(context: ForwardingContext): Forwarder {
    return new RunningForwarder(context);
}
