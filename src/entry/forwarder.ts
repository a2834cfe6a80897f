/**
 * Takes callers' requests and starts an exchange for each.
 *
 * @module
 */
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type Route } from "../routes/index.js";
import { type Arrival, Arrivals } from "./_arrivals.js";
import { type CallerRequest } from "./_requestFacts.js";
import { Exchange } from "./exchange.js";
import { type ForwardingContext } from "./forwardingContext.js";

const STATUS_BAD_REQUEST = 400;
const STATUS_NOT_FOUND = 404;
const STATUS_TOO_LARGE = 413;
const STATUS_UNAVAILABLE = 503;

/** Callers that this host cannot serve find another one within this time, in seconds. */
const ELSEWHERE_WAIT_SECONDS = "0.2";

/** Time in which an engine reads enough of its prompts to take another one. */
const READING_MILLISECONDS = 10;

/** Paths in log lines are cut after so many characters. */
const LOGGED_PATH_CHARACTERS = 100;

/** Used for callers' bodies while no configuration is known. */
const DEFAULT_BODY_BYTES = 4 * 1024 * 1024;

/** Forwards the requests of callers. */
export interface Forwarder {
    handle(message: IncomingMessage, response: ServerResponse): void;
    /** Requests that have no final answer yet. */
    readonly open: number;
    /** Lets requests that wait look for an upstream again, the most urgent first. */
    wake(): void;
    /** Gives every open request its final answer at once. */
    abortAll(): void;
}

/** Reads a body up to a limit; `undefined` beyond it, or where the caller left. */
function readBody(
    message: IncomingMessage,
    limit: number,
    onBody: (body: Buffer | "too-large" | "caller-left") => void,
): void {
    const pieces: Buffer[] = [];
    let length = 0;
    let settled = false;
    const settle = (body: Buffer | "too-large" | "caller-left"): void => {
        if (!settled) {
            settled = true;
            onBody(body);
        }
    };
    message.on("data", (piece: Buffer) => {
        length += piece.length;
        if (length > limit) {
            settle("too-large");
            return;
        }
        pieces.push(piece);
    });
    message.on("end", () => settle(Buffer.concat(pieces)));
    message.on("error", () => settle("caller-left"));
    message.on("close", () => settle("caller-left"));
}

class RunningForwarder implements Forwarder {
    readonly #context: ForwardingContext;
    readonly #exchanges = new Set<Exchange>();
    readonly #arrivals = new Arrivals({
        onBegin: arrival => this.#begin(arrival),
        onCallerLeft: arrival => this.#noteCallerLeft(arrival),
    });
    #wakePlanned = false;
    #readingTimer: NodeJS.Timeout | undefined;

    constructor(context: ForwardingContext) {
        this.#context = context;
    }

    get open(): number {
        return this.#exchanges.size;
    }

    handle(message: IncomingMessage, response: ServerResponse): void {
        const arrivedAtMilliseconds = this.#context.readClock();
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
            this.#arrivals.add({ message, response, body, arrivedAtMilliseconds });
        });
    }

    wake(): void {
        const waiting = [...this.#exchanges].filter(({ waits }) => waits);
        waiting.sort((left, right) => compareRanks(left.rank, right.rank));
        const unmet = new Set<string>();
        for (const exchange of waiting) {
            const { need } = exchange;
            if (need !== undefined && unmet.has(need)) {
                continue;
            }
            exchange.dispatch();
            if (need !== undefined && exchange.waits) {
                unmet.add(need);
            }
        }
    }

    abortAll(): void {
        clearTimeout(this.#readingTimer);
        for (const exchange of [...this.#exchanges]) {
            exchange.abort();
        }
    }

    #noteCallerLeft({ message }: Arrival): void {
        this.#noteRejected(message, "caller-left", undefined);
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
                    this.#wakeSoon();
                },
                onReading: () => this.#wakeOnceRead(),
            },
        );
        this.#exchanges.add(exchange);
        exchange.start();
    }

    /** A request that ended leaves room; several that end together wake the others once. */
    #wakeSoon(): void {
        if (!this.#wakePlanned) {
            this.#wakePlanned = true;
            setImmediate(() => {
                this.#wakePlanned = false;
                this.wake();
            });
        }
    }

    /** Engines read on all the time, so those that wait for that look again often, all at once. */
    #wakeOnceRead(): void {
        this.#readingTimer ??= setTimeout(() => {
            this.#readingTimer = undefined;
            this.wake();
        }, READING_MILLISECONDS);
    }

    /** Books a request that ends before it began; without a status there is nobody to tell. */
    #noteRejected(message: IncomingMessage, reason: string, status: number | undefined): void {
        const requestId = message.headers[this.#context.headers.requestId];
        this.#context.logger.info("request rejected", {
            request: typeof requestId === "string" ? requestId : undefined,
            reason,
            status,
            path: message.url?.slice(0, LOGGED_PATH_CHARACTERS),
            configurationVersion: this.#context.routeTable()?.version,
        });
        this.#context.metrics.count("refusals", { reason });
    }

    #reject(message: IncomingMessage, response: ServerResponse, status: number, reason: string): void {
        const { headers } = this.#context;
        const requestId = message.headers[headers.requestId];
        this.#noteRejected(message, reason, status);
        if (response.headersSent || response.destroyed) {
            return;
        }
        const body = JSON.stringify({ reason, ran: "not-run" });
        const echoed = typeof requestId === "string" ? { [headers.requestId]: requestId } : {};
        const later = status === STATUS_UNAVAILABLE ? { "retry-after": ELSEWHERE_WAIT_SECONDS } : {};
        const closing = status === STATUS_TOO_LARGE || this.#context.isLeaving() ? { connection: "close" } : {};
        response.writeHead(status, {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(body),
            ...echoed,
            ...later,
            ...closing,
        });
        response.end(body);
    }
}

function compareRanks(left: Exchange["rank"], right: Exchange["rank"]): number {
    return left[0] - right[0] || left[1] - right[1] || left[2] - right[2];
}

/**
 * Creates the forwarder of a host.
 *
 * @param context Beliefs, books and tools that requests share.
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
