/**
 * Accepts callers' requests and starts an exchange for each.
 *
 * @module
 */
import { type IncomingMessage, type ServerResponse } from "node:http";
import { decideUnknownKey, type Identity, loggedKey, type RequestAccount } from "../accounts/index.js";
import { type LogFields } from "../observability/index.js";
import { type QuotaDecision } from "../quotas/index.js";
import { type Route, type RouteTable, withPriorityOf } from "../routes/index.js";
import { accountOfRequest, identifyCaller } from "./callerIdentity.js";
import {
    type Arrival,
    readTarget,
    renderRawAnswer,
    type RequestHandler,
    type RequestProblem,
    type RequestTarget,
} from "./connections/index.js";
import {
    AUTHENTICATE_HEADERS,
    type CallerRequest,
    dispatchInOrder,
    Exchange,
    OTHER_HOST_MILLISECONDS,
} from "./exchange/index.js";
import { type ForwardingContext } from "./forwardingContext.js";

const STATUS_BAD_REQUEST = 400;
const STATUS_UNAUTHORIZED = 401;
const STATUS_NOT_FOUND = 404;
const STATUS_TOO_MANY_REQUESTS = 429;
const STATUS_UNAVAILABLE = 503;

const STATUS_OF_PROBLEM: Readonly<Record<Exclude<RequestProblem, "unknown-key">, number>> = {
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

/** Why a request is rejected before it begins. */
interface Rejection {
    readonly status: number;
    readonly reason: string;
    /** Time after which the caller may come back. */
    readonly retryAfterMilliseconds?: number | undefined;
    /** Further fields of the log line. */
    readonly fields?: LogFields;
}

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

function matchRoute(table: RouteTable, { host, pathAndQuery }: RequestTarget): Route | undefined {
    return table.match(host, pathAndQuery.split("?")[0] ?? "/");
}

/** Returns a time in seconds for `Retry-After`, with as many decimals as it needs up to three. */
function renderSeconds(milliseconds: number): string {
    return String(Math.ceil(milliseconds) / MILLISECONDS_PER_SECOND);
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
    /** Who sends each request, by the configuration of that version. */
    readonly #identities = new WeakMap<IncomingMessage, { readonly version: number; readonly identity: Identity; }>();
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
        const { body, headers } = this.#createRefusal(message, {
            status: STATUS_UNAVAILABLE,
            reason: "connection-closing",
        });
        return renderRawAnswer({ status: STATUS_UNAVAILABLE, headers, body: message.method === "HEAD" ? "" : body });
    }

    begin(arrival: Arrival): void {
        const { body, message, problem, response, target } = arrival;
        if (problem === "unknown-key") {
            this.#rejectUnknownKey(arrival);
            return;
        }
        if (problem !== undefined) {
            this.#reject(arrival, { status: STATUS_OF_PROBLEM[problem], reason: problem });
            return;
        }
        const table = this.#context.routeTable();
        if (table === undefined) {
            this.#reject(arrival, { status: STATUS_UNAVAILABLE, reason: "no-configuration" });
            return;
        }
        if (this.#context.isClosedToCallers()) {
            this.#reject(arrival, { status: STATUS_UNAVAILABLE, reason: "host-leaving" });
            return;
        }
        if (this.#context.isPartitioned()) {
            this.#reject(arrival, { status: STATUS_UNAVAILABLE, reason: "host-partitioned" });
            return;
        }
        const route = matchRoute(table, target);
        const caller = this.#identify(message, table, route);
        if (caller === "unknown-key") {
            this.#rejectUnknownKey(arrival);
            return;
        }
        const requestId = message.headers[this.#context.headers.requestId];
        if (typeof requestId !== "string" || requestId === "") {
            this.#reject(arrival, { status: STATUS_BAD_REQUEST, reason: "no-request-identifier" });
            return;
        }
        if (route === undefined) {
            this.#rejectWithoutRoute(arrival, table);
            return;
        }
        if (caller !== undefined && !this.#admit(arrival, caller)) {
            return;
        }
        const { arrivedAtMilliseconds, closesConnection, holdBody, longestUnreadMilliseconds } = arrival;
        const times = { arrivedAtMilliseconds, longestUnreadMilliseconds };
        const parts = { message, response, target, body, holdBody, requestId, closesConnection, ...times };
        this.#start({ ...parts, account: caller }, withPriorityOf(route, caller?.account), table.version);
    }

    /**
     * Looks for a key before the body is read; what is found holds for as long as the configuration does. A host that may
     * lack a configuration, such as one that did not run, reads the body and decides in the request's turn.
     */
    findProblem(message: IncomingMessage): RequestProblem | undefined {
        const table = this.#context.routeTable();
        if (table?.accounts === undefined) {
            return undefined;
        }
        const caller = this.#identify(message, table, matchRoute(table, readTarget(message)));
        return caller === "unknown-key" && decideUnknownKey(this.#context.configurationEvidence()) === "unknown-key"
            ? caller
            : undefined;
    }

    /** Returns the account of a request, if it belongs to one; `unknown-key` for one that needs a key and has none. */
    #identify(
        message: IncomingMessage,
        { accounts, version }: RouteTable,
        route: Route | undefined,
    ): RequestAccount | "unknown-key" | undefined {
        if (accounts === undefined || route === undefined) {
            return undefined;
        }
        const { headers } = this.#context;
        const known = this.#identities.get(message);
        const identity = known?.version === version ? known.identity : identifyCaller(message, accounts, headers);
        this.#identities.set(message, { version, identity });
        return identity.type === "account" || route.isPublic === true
            ? accountOfRequest(message, identity, accounts, headers)
            : "unknown-key";
    }

    /** Rejects a request whose key is not known; as one that may come back where another configuration may know it. */
    #rejectUnknownKey(arrival: Arrival): void {
        const known = this.#identities.get(arrival.message);
        const isCurrent = known?.version === this.#context.routeTable()?.version;
        const reason = isCurrent ? decideUnknownKey(this.#context.configurationEvidence()) : "configuration-outdated";
        this.#reject(arrival, {
            status: reason === "unknown-key" ? STATUS_UNAUTHORIZED : STATUS_UNAVAILABLE,
            reason,
            ...known?.identity.type === "unknown-key" ? { fields: { key: loggedKey(known.identity.keyDigest) } } : {},
        });
    }

    /** A host that may lack the newest configuration says so, if accounts are configured: their routes may be new. */
    #rejectWithoutRoute(arrival: Arrival, { accounts }: RouteTable): void {
        const isOutdated = accounts !== undefined
            && decideUnknownKey(this.#context.configurationEvidence()) === "configuration-outdated";
        this.#reject(
            arrival,
            isOutdated
                ? { status: STATUS_UNAVAILABLE, reason: "configuration-outdated" }
                : { status: STATUS_NOT_FOUND, reason: "no-route" },
        );
    }

    /** Returns whether a request is within its account's quota; rejects one that is not. */
    #admit(arrival: Arrival, { account: { name }, tokens }: RequestAccount): boolean {
        const { metrics, quotas, readClock } = this.#context;
        const decision = quotas.admit(name, tokens, readClock());
        if (decision.type === "admitted") {
            metrics.add("account_tokens", { account: name, outcome: "admitted" }, tokens);
            return true;
        }
        metrics.count("account_refusals", { account: name, reason: decision.type });
        this.#rejectOverQuota(arrival, { name, tokens, decision });
        return false;
    }

    #rejectOverQuota(
        arrival: Arrival,
        { decision, name, tokens }: {
            readonly name: string;
            readonly tokens: number;
            readonly decision: Extract<QuotaDecision, { readonly type: "over-quota"; }>;
        },
    ): void {
        const { quotas, readClock } = this.#context;
        const { retryAfterMilliseconds, type } = decision;
        const state = quotas.describe(name, readClock());
        this.#reject(arrival, {
            status: STATUS_TOO_MANY_REQUESTS,
            reason: type,
            retryAfterMilliseconds,
            fields: {
                account: name,
                tokens,
                retryAfterMilliseconds: Math.round(retryAfterMilliseconds),
                levelTokens: state === undefined ? undefined : Math.round(state.levelTokens),
                tokensPerSecond: state?.tokensPerSecond,
                offeredTokensPerSecond: state === undefined ? undefined : Math.round(state.offeredTokensPerSecond),
                newsAgeMilliseconds: state?.newsAgeMilliseconds === undefined
                    ? undefined
                    : Math.round(state.newsAgeMilliseconds),
            },
        });
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

    #reject({ closesConnection, message, response }: Arrival, rejection: Rejection): void {
        const { fields, reason, status } = rejection;
        this.#recordRejected(message, reason, status, fields);
        if (response.headersSent || response.destroyed) {
            return;
        }
        const { body, headers } = this.#createRefusal(message, rejection);
        const isLast = closesConnection({ isWanted: this.#context.closesConnections(), hasLength: true });
        response.writeHead(status, {
            ...headers,
            "content-length": Buffer.byteLength(body),
            ...isLast ? { connection: "close" } : {},
        });
        endOnceRead(message, response, body);
    }

    #createRefusal(message: IncomingMessage, { reason, retryAfterMilliseconds, status }: Rejection): Refusal {
        const { headers } = this.#context;
        const pauseMilliseconds = status === STATUS_UNAVAILABLE ? OTHER_HOST_MILLISECONDS : retryAfterMilliseconds;
        const requestId = message.headers[headers.requestId];
        return {
            body: JSON.stringify({ reason, ran: "not-run", retryAfterMilliseconds }),
            headers: {
                "content-type": "application/json",
                ...typeof requestId === "string" ? { [headers.requestId]: requestId } : {},
                ...pauseMilliseconds === undefined ? {} : { "retry-after": renderSeconds(pauseMilliseconds) },
                ...status === STATUS_UNAUTHORIZED ? AUTHENTICATE_HEADERS : {},
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
