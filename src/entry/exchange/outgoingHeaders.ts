/**
 * Builds the headers of a request that is sent to an upstream.
 *
 * @module
 */
import { type UpstreamAnnouncement } from "../../fleet/index.js";
import { type HeaderNames } from "../siteProtocol.js";
import { passThroughHeaders } from "./forwardedHeaders.js";
import { type CallerRequest } from "./requestFacts.js";

/** Engines have ten priority levels; 0 is the most urgent. */
const LOWEST_ENGINE_PRIORITY = 9;

/** What a request to an upstream says beyond the caller's own headers. */
export interface OutgoingHeaderOptions {
    readonly upstream: UpstreamAnnouncement;
    readonly namesModel: boolean;
    readonly remainingMilliseconds: number;
    /** The last event that the caller has; `undefined` for an answer from its beginning. */
    readonly lastEventId: string | undefined;
    /** True where accounts are configured: no key is then sent to an upstream. */
    readonly hasAccounts: boolean;
    /** The account that the request belongs to; `undefined` where it belongs to none. */
    readonly account: string | undefined;
}

/**
 * Returns alternating names and values: the caller's headers, and those that the host sets itself.
 *
 * @param request The caller's request.
 * @param names The site's header names.
 * @param options What the host sets.
 */
export function outgoingHeaders(
    { body, message, route }: CallerRequest,
    names: HeaderNames,
    { account, hasAccounts, lastEventId, namesModel, remainingMilliseconds, upstream }: OutgoingHeaderOptions,
): string[] {
    const replaced = new Set([
        ...names.reserved,
        names.expectedUpstream,
        names.deadline,
        names.priority,
        names.lastEventId,
        "content-length",
        ...hasAccounts ? [names.authorization, names.account] : [],
    ]);
    const headers = passThroughHeaders(message.rawHeaders, replaced);
    headers.push(names.expectedUpstream, upstream.id);
    headers.push(names.deadline, String(Math.max(1, Math.floor(remainingMilliseconds))));
    if (namesModel) {
        headers.push(names.priority, String(Math.min(LOWEST_ENGINE_PRIORITY, route.priority)));
    }
    if (lastEventId !== undefined) {
        headers.push(names.lastEventId, lastEventId);
    }
    if (account !== undefined) {
        headers.push(names.account, account);
    }
    const hadLength = message.headers["content-length"] !== undefined;
    if (body.length > 0 || hadLength || message.method === "POST") {
        headers.push("content-length", String(body.length));
    }
    return headers;
}
