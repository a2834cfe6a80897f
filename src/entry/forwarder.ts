/**
 * Accepts callers' requests and starts an exchange for each.
 *
 * @module
 */
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type Route } from "../routes/index.js";
import { type Arrival, renderRawAnswer, type RequestHandler, type RequestProblem } from "./connections/index.js";
import { type CallerRequest, dispatchInOrder, Exchange, OTHER_HOST_MILLISECONDS } from "./exchange/index.js";
import { type ForwardingContext } from "./forwardingContext.js";

const STATUS_BAD_REQUEST = 400;
const STATUS_NOT_FOUND = 404;
const STATUS_UNAVAILABLE = 503;

const STATUS_OF_PROBLEM: Readonly<Record<RequestProblem, number>> = {
    "body-stalled": 408,
    "body-too-large": 413,
    "headers-too-large": 431,
    "invalid-target": STATUS_BAD_REQUEST,
    "no-host": STATUS_BAD_REQUEST,
    "no-room-for-bodies": STATUS_UNAVAILABLE,
    "unknown-expectation": 417,
};

const MILLISECONDS_PER_SECOND = 1_000;

/** Time in which an engine prefills enough of its backlog to accept another prompt. */
const PREFILL_RECHECK_MILLISECONDS = 10;

/** Time in which the rest of a request that was refused may arrive. */
const REST_MILLISECONDS = 2_000;

/** Longer paths are truncated in log lines. */
const MAXIMUM_LOGGED_PATH_CHARACTERS = 100;

/** A log line names at most this many requests. */
const MAXIMUM_LOGGED_REQUESTS = 8;

/** A refusal that the host gives before a request begins. */
interface Refusal {
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string;
}

/**
 * Ends a refusal once the rest of the request was read: a connection that is closed before is reset, and its caller may
 * lose the answer.
 */
function endOnceRead(message: IncomingMessage, response: ServerResponse, body: string): void {
    if (message.complete) {
        response.end(body);
        return;
    }
    response.write(body);
    const end = (): void => void response.end();
    const timer = setTimeout(end, REST_MILLISECONDS);
    message.once("end", end);
    response.once("close", () => clearTimeout(timer));
}

/** Forwards the requests of callers. */
export interface Forwarder extends RequestHandler {
    /** Dispatches waiting requests again soon, the most urgent first; once for several calls. */
    wake(): void;
    /** As {@linkcode wake}, after a change of where requests may go: those that lack a copy are dispatched, too. */
    wakeAll(): void;
    /** Ends every open request at once. */
    abortAll(): void;
}

class RunningForwarder implements Forwarder {
    readonly #context: ForwardingContext;
    readonly #exchanges = new Set<Exchange>();
    #wakeScheduled = false;
    #wakesAll = false;
    #prefillTimer: NodeJS.Timeout | undefined;

    constructor(context: ForwardingContext) {
        this.#context = context;
    }

    get keptHeaders(): readonly string[] {
        return [this.#context.headers.requestId];
    }

    wake(): void {
        if (!this.#wakeScheduled) {
            this.#wakeScheduled = true;
            this.#context.acts.enqueue(() => {
                this.#wakeScheduled = false;
                this.#dispatchWaiting();
            });
        }
    }

    wakeAll(): void {
        this.#wakesAll = true;
        this.wake();
    }

    #dispatchWaiting(): void {
        const includesLacking = this.#wakesAll;
        this.#wakesAll = false;
        const { acts, admission, readClock } = this.#context;
        acts.runInTurns(dispatchInOrder(this.#exchanges, {
            includesLacking,
            arrange: sorted => admission.arrange(sorted, readClock()),
        }));
    }

    abortAll(): void {
        clearTimeout(this.#prefillTimer);
        for (const exchange of [...this.#exchanges]) {
            exchange.abort();
        }
    }

    recordCallerLeft({ message, unansweredBefore }: Arrival): void {
        const { destroyed, readableEnded } = message.socket;
        const isConnected = !destroyed && !readableEnded;
        this.#recordRejected(message, "caller-left", undefined, { isConnected, unansweredBefore });
    }

    recordUnanswered(messages: readonly IncomingMessage[]): void {
        const identifiers = messages.map(({ headers }) => headers[this.#context.headers.requestId]);
        this.#context.logger.info("connection closed before answers", {
            requests: identifiers.slice(0, MAXIMUM_LOGGED_REQUESTS).join(" "),
            count: messages.length,
            readWhole: messages.filter(({ complete }) => complete).length,
            isLeaving: this.#context.isLeaving(),
        });
    }

    refuseAfterLast(message: IncomingMessage): string {
        this.#recordRejected(message, "connection-closing", STATUS_UNAVAILABLE);
        const { body, headers } = this.#createRefusal(message, STATUS_UNAVAILABLE, "connection-closing");
        return renderRawAnswer({ status: STATUS_UNAVAILABLE, headers, body: message.method === "HEAD" ? "" : body });
    }

    begin(arrival: Arrival): void {
        const { body, message, problem, response, target } = arrival;
        if (problem !== undefined) {
            this.#reject(arrival, STATUS_OF_PROBLEM[problem], problem);
            return;
        }
        const table = this.#context.routeTable();
        if (table === undefined) {
            this.#reject(arrival, STATUS_UNAVAILABLE, "no-configuration");
            return;
        }
        if (this.#context.isClosedToCallers()) {
            this.#reject(arrival, STATUS_UNAVAILABLE, "host-leaving");
            return;
        }
        if (this.#context.isPartitioned()) {
            this.#reject(arrival, STATUS_UNAVAILABLE, "host-partitioned");
            return;
        }
        const requestId = message.headers[this.#context.headers.requestId];
        if (typeof requestId !== "string" || requestId === "") {
            this.#reject(arrival, STATUS_BAD_REQUEST, "no-request-identifier");
            return;
        }
        const path = target.pathAndQuery.split("?")[0] ?? "/";
        const route = table.match(target.host, path);
        if (route === undefined) {
            this.#reject(arrival, STATUS_NOT_FOUND, "no-route");
            return;
        }
        const { arrivedAtMilliseconds, closesConnection, holdBody, longestUnreadMilliseconds } = arrival;
        const times = { arrivedAtMilliseconds, longestUnreadMilliseconds };
        const parts = { message, response, target, body, holdBody, requestId, closesConnection, ...times };
        this.#start(parts, route, table.version);
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
                    this.wake();
                },
                onPrefillWait: () => this.#scheduleWakeAfterPrefill(),
            },
        );
        this.#exchanges.add(exchange);
        exchange.start();
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

    #reject({ closesConnection, message, response }: Arrival, status: number, reason: string): void {
        this.#recordRejected(message, reason, status);
        if (response.headersSent || response.destroyed) {
            return;
        }
        const { body, headers } = this.#createRefusal(message, status, reason);
        const isLast = closesConnection({ isWanted: this.#context.closesConnections(), hasLength: true });
        response.writeHead(status, {
            ...headers,
            "content-length": Buffer.byteLength(body),
            ...isLast ? { connection: "close" } : {},
        });
        endOnceRead(message, response, body);
    }

    #createRefusal(message: IncomingMessage, status: number, reason: string): Refusal {
        const { headers } = this.#context;
        const requestId = message.headers[headers.requestId];
        return {
            body: JSON.stringify({ reason, ran: "not-run" }),
            headers: {
                "content-type": "application/json",
                ...typeof requestId === "string" ? { [headers.requestId]: requestId } : {},
                ...status === STATUS_UNAVAILABLE
                    ? { "retry-after": String(OTHER_HOST_MILLISECONDS / MILLISECONDS_PER_SECOND) }
                    : {},
            },
        };
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
 * const connections = new CallerConnections({ acts, handler: forwarder, logger, memory, metrics, reads, readClock });
 * ```
 */
export function createForwarder(context: ForwardingContext): Forwarder {
    return new RunningForwarder(context);
}
