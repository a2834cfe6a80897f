/**
 * Reads a request's properties from its headers, route and body.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { bindToAccount, type RequestAccount } from "../../accounts/index.js";
import { type RequestAttributes } from "../../crashes/index.js";
import { sharedParts } from "../../forwarding/index.js";
import { chooseService, type Route } from "../../routes/index.js";
import { type CloseDecisionOptions, type RequestTarget } from "../connections/index.js";
import { promptTokensOf, totalTokensOf, workOf } from "../demandMeter.js";
import { type HeaderNames } from "../siteProtocol.js";

const FINGERPRINT_DIGITS = 24;

/** An engine may work for a caller for this long after the caller's time limit. */
const MAXIMUM_EXCESS_MILLISECONDS = 500;

/** A complete request as read from a caller. */
export interface CallerRequest {
    readonly message: IncomingMessage;
    readonly response: ServerResponse;
    readonly target: RequestTarget;
    readonly body: Buffer;
    /** Keeps the body in memory until the function that it returns is called, or the request has ended if that is later. */
    readonly holdBody: () => () => void;
    readonly requestId: string;
    /** With the priority of the request's account. */
    readonly route: Route;
    /** `undefined` for a request that belongs to no account. */
    readonly account?: RequestAccount | undefined;
    /** When its head was read. */
    readonly arrivedAtMilliseconds: number;
    /** The longest time for which it may have lain unread before. */
    readonly longestUnreadMilliseconds: number;
    readonly configurationVersion: number;
    /** Decides, when the head of the answer is written, whether it is the last one of its connection. */
    readonly closesConnection: (options: CloseDecisionOptions) => boolean;
}

/** Properties of a request that forwarding decisions depend on. */
export interface RequestFacts {
    /** `undefined` where no service of the route has a weight. */
    readonly service: string | undefined;
    readonly model: string | undefined;
    readonly adapter: string | undefined;
    /** The last part of the prompt that other requests share. */
    readonly sharedPrompt: string | undefined;
    readonly promptTokens: number;
    /** Tokens of the prompt and the whole output. */
    readonly totalTokens: number;
    /** Work for an engine, in output tokens; prompt tokens count in part. */
    readonly work: number;
    /** The last event of the stream that the caller received. */
    readonly lastEventId: string | undefined;
    /** The caller's request that brought the stream's first event, where the caller resumes a stream. */
    readonly resumedRequest: string | undefined;
    /** What it has in common with requests that may crash upstreams; the fingerprint is a hash of path and body. */
    readonly attributes: RequestAttributes;
    /**
     * Arrival time plus the shorter of the caller's and the route's time limits; earlier for a request that may have lain
     * unread for long, so that no engine works for long for a caller whose time has passed.
     */
    readonly deadlineAtMilliseconds: number;
    /** When the time limit ends of a caller whose request did not lie unread. */
    readonly latestDeadlineAtMilliseconds: number;
}

function readHeader(message: IncomingMessage, name: string): string | undefined {
    const value = message.headers[name];
    return Array.isArray(value) ? value[0] : value;
}

function readTimeLimit(text: string | undefined): number {
    const limitMilliseconds = Number(text);
    return Number.isFinite(limitMilliseconds) && limitMilliseconds > 0 ? limitMilliseconds : Number.POSITIVE_INFINITY;
}

function fingerprintOf({ account, body, target }: CallerRequest): string {
    const path = bindToAccount(target.pathAndQuery, account?.account.name);
    return createHash("sha1").update(path).update("\0").update(body).digest("hex").slice(0, FINGERPRINT_DIGITS);
}

/** Returns what crashes are attributed to; each account has attributes of its own, since callers choose them. */
function attributesOf(request: CallerRequest, parts: readonly string[]): RequestAttributes {
    const tag = request.account?.tag;
    return {
        fingerprint: fingerprintOf(request),
        // A part has no colon.
        parts: tag === undefined ? parts : parts.map(part => `${tag}:${part}`),
    };
}

/** Returns the identifier by which hosts know a request; that of an account differs from all of others. */
export function identifierOf(
    { account, requestId }: Pick<CallerRequest, "account" | "requestId">,
): string {
    return bindToAccount(requestId, account?.account.name);
}

/** Splits a header value into the model's name and, after a slash, the adapter's. */
function readModel(
    modelAndAdapter: string | undefined,
): { readonly model: string | undefined; readonly adapter: string | undefined; } {
    const slash = modelAndAdapter?.indexOf("/") ?? -1;
    return slash === -1
        ? { model: modelAndAdapter, adapter: undefined }
        : { model: modelAndAdapter?.slice(0, slash), adapter: modelAndAdapter?.slice(slash + 1) };
}

/**
 * Reads the properties of a request.
 *
 * @param request The request.
 * @param headers The site's header names.
 */
export function readRequestFacts(request: CallerRequest, headers: HeaderNames): RequestFacts {
    const { arrivedAtMilliseconds, longestUnreadMilliseconds, message, requestId, route } = request;
    const tokenCount = readHeader(message, headers.tokenCount);
    const callerLimitMilliseconds = readTimeLimit(readHeader(message, headers.deadline));
    const limitMilliseconds = Math.min(callerLimitMilliseconds, route.timeoutMilliseconds);
    const latestDeadlineAtMilliseconds = arrivedAtMilliseconds + limitMilliseconds;
    const unreadMilliseconds = Math.max(0, longestUnreadMilliseconds - MAXIMUM_EXCESS_MILLISECONDS);
    const parts = sharedParts(readHeader(message, headers.promptParts));
    return {
        ...readModel(readHeader(message, headers.model)),
        service: chooseService(route, requestId),
        sharedPrompt: parts.at(-1),
        promptTokens: promptTokensOf(tokenCount),
        totalTokens: totalTokensOf(tokenCount),
        work: workOf(tokenCount),
        lastEventId: readHeader(message, headers.lastEventId),
        resumedRequest: readHeader(message, headers.resumedRequest),
        attributes: attributesOf(request, parts),
        deadlineAtMilliseconds: latestDeadlineAtMilliseconds - unreadMilliseconds,
        latestDeadlineAtMilliseconds,
    };
}
