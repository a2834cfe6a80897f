/**
 * What a request says of itself in its headers.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { lastSharedPart } from "../forwarding/index.js";
import { chooseService, type Route } from "../routes/index.js";
import { promptTokensOf, workOf } from "./demandMeter.js";
import { type HeaderNames } from "./siteProtocol.js";

const FINGERPRINT_DIGITS = 24;

/** A whole request as read from a caller. */
export interface CallerRequest {
    readonly message: IncomingMessage;
    readonly response: ServerResponse;
    readonly body: Buffer;
    readonly requestId: string;
    readonly route: Route;
    readonly arrivedAtMilliseconds: number;
    readonly configurationVersion: number;
}

/** What decisions on a request need to know. */
export interface RequestFacts {
    /** `undefined` where no service of the route has a weight. */
    readonly service: string | undefined;
    readonly model: string | undefined;
    readonly adapter: string | undefined;
    /** The last part of the prompt that other requests share. */
    readonly sharedPrompt: string | undefined;
    readonly promptTokens: number;
    /** Tokens of work that an engine has with it. */
    readonly work: number;
    /** The last event that the caller has of the stream. */
    readonly lastEventId: string | undefined;
    /** Equal for a request that comes again with the same path and body. */
    readonly fingerprint: string;
    /** The earlier of the caller's and the route's limits. */
    readonly deadlineAtMilliseconds: number;
}

function readHeader(message: IncomingMessage, name: string): string | undefined {
    const value = message.headers[name];
    return Array.isArray(value) ? value[0] : value;
}

function readDeadline(text: string | undefined): number {
    const asked = Number(text);
    return Number.isFinite(asked) && asked > 0 ? asked : Number.POSITIVE_INFINITY;
}

/** Splits a model's name from that of an adapter behind a slash. */
function readModel(
    wanted: string | undefined,
): { readonly model: string | undefined; readonly adapter: string | undefined; } {
    const slash = wanted?.indexOf("/") ?? -1;
    return slash === -1
        ? { model: wanted, adapter: undefined }
        : { model: wanted?.slice(0, slash), adapter: wanted?.slice(slash + 1) };
}

/**
 * Reads the facts of a request.
 *
 * @param request The request.
 * @param headers The site's header names.
 */
export function readRequestFacts(request: CallerRequest, headers: HeaderNames): RequestFacts {
    const { arrivedAtMilliseconds, body, message, requestId, route } = request;
    const tokenCount = readHeader(message, headers.tokenCount);
    const callerLimit = readDeadline(readHeader(message, headers.deadline));
    return {
        ...readModel(readHeader(message, headers.model)),
        service: chooseService(route, requestId),
        sharedPrompt: lastSharedPart(readHeader(message, headers.promptParts)),
        promptTokens: promptTokensOf(tokenCount),
        work: workOf(tokenCount),
        lastEventId: readHeader(message, headers.lastEventId),
        fingerprint: createHash("sha1").update(message.url ?? "").update("\0").update(body)
            .digest("hex").slice(0, FINGERPRINT_DIGITS),
        deadlineAtMilliseconds: arrivedAtMilliseconds + Math.min(callerLimit, route.timeoutMilliseconds),
    };
}
