/**
 * Checks the heads of upstreams' answers and reads what they report.
 *
 * @module
 */
import { type AttemptFailure, parseRetryAfter, type ReportedLoad, type RequestedPause } from "../forwarding/index.js";
import { type ParsedRateLimit, parseRateLimit } from "../rateLimits/index.js";
import { type AnswerHead } from "../transport/answers/index.js";
import { type HeaderNames } from "./siteProtocol.js";

const STATUS_OK_FIRST = 200;
const STATUS_OK_LAST = 299;
const STATUS_REQUEST_TIMEOUT = 408;
const STATUS_MISDIRECTED = 421;
const STATUS_TOO_MANY_REQUESTS = 429;
const STATUS_UNAVAILABLE = 503;
const FIRST_SERVER_ERROR = 500;

/** Figure of an upstream on whose machine work takes as long as usual. */
const USUAL_WORK_TIME = 100;

/** Statuses that promise a caller that its request did not run and never will. */
const PROMISES_NOT_RUN: ReadonlySet<number> = new Set([
    STATUS_REQUEST_TIMEOUT,
    STATUS_MISDIRECTED,
    STATUS_TOO_MANY_REQUESTS,
    STATUS_UNAVAILABLE,
]);

/** Properties of a request against which its answer is checked. */
export interface AnswerExpectation {
    readonly requestId: string;
    readonly upstream: string;
    readonly namesModel: boolean;
    /** True once the caller has received part of an answer, which only a successful one can continue. */
    readonly answerBegun: boolean;
    /** Returns whether an upstream's error should be retried elsewhere rather than forwarded to the caller. */
    readonly mayRetryError: () => boolean;
}

/** Returns whether an answer has a 2xx status. */
export function isSuccess({ status }: AnswerHead): boolean {
    return status >= STATUS_OK_FIRST && status <= STATUS_OK_LAST;
}

/** Returns whether an answer has a 5xx status. */
export function isServerError({ status }: AnswerHead): boolean {
    return status >= FIRST_SERVER_ERROR;
}

function classifyNotRun(head: AnswerHead, expectation: AnswerExpectation, names: HeaderNames): AttemptFailure {
    if (head.status !== STATUS_MISDIRECTED) {
        return "not-run";
    }
    const isOtherUpstream = isFromOtherUpstream(head, expectation.upstream, names);
    return isOtherUpstream || !expectation.namesModel ? "misdirected" : "not-resident";
}

/**
 * Checks the head of an answer against its request. An upstream may send a second answer to an earlier request, so an
 * answer that does not name this one proves nothing of it. An answer whose status promises that the request did not run
 * is never forwarded: the host gives that promise itself, where it is proved.
 *
 * @param head The head.
 * @param expectation Properties of the request.
 * @param names The site's header names.
 * @returns The failure; `undefined` for an answer to forward.
 */
export function checkHead(
    head: AnswerHead,
    expectation: AnswerExpectation,
    names: HeaderNames,
): AttemptFailure | undefined {
    if (head.headers[names.requestId] !== expectation.requestId) {
        return "invalid-answer";
    }
    if (head.headers[names.notRun] !== undefined || head.status === STATUS_MISDIRECTED) {
        return classifyNotRun(head, expectation, names);
    }
    const hasReceipt = head.headers[names.receipt] !== undefined;
    if ((isSuccess(head) && !hasReceipt) || head.headers["content-encoding"] !== undefined) {
        return "invalid-answer";
    }
    if (PROMISES_NOT_RUN.has(head.status) || (expectation.answerBegun && !isSuccess(head))) {
        return "upstream-error";
    }
    return isServerError(head) && (!hasReceipt || expectation.mayRetryError()) ? "upstream-error" : undefined;
}

/** Status and headers of an answer to a request, an order or a report request. */
export type AnswerStatusAndHeaders = Pick<AnswerHead, "status" | "headers">;

/** Returns whether an answer is that of another upstream, which may have the address by now. */
export function isFromOtherUpstream(head: AnswerStatusAndHeaders, upstream: string, names: HeaderNames): boolean {
    const answering = head.headers[names.answeringUpstream];
    return answering !== undefined && answering !== upstream;
}

/** Returns whether an answer reports that its upstream is leaving. */
export function reportsLeaving(head: AnswerStatusAndHeaders, names: HeaderNames): boolean {
    return head.headers[names.upstreamLeaving] === "1";
}

/** Reads the rate limit that an upstream names in an answer; `undefined` where it names none. */
export function readRateLimit(head: AnswerStatusAndHeaders, names: HeaderNames): ParsedRateLimit | undefined {
    const text = head.headers[names.rateLimit];
    return typeof text === "string" ? parseRateLimit(text) : undefined;
}

/** Reads the rejections a second that an upstream tolerates; `undefined` where it names none. */
export function readRejectionTolerance(
    head: AnswerStatusAndHeaders,
    names: HeaderNames,
): ParsedRateLimit | undefined {
    const text = head.headers[names.rejectionTolerance];
    return typeof text === "string" ? parseRateLimit(text) : undefined;
}

/** Reads the pause that an unavailable (503) upstream requests; `undefined` without `Retry-After`. */
export function readRequestedPause(head: AnswerStatusAndHeaders): RequestedPause | undefined {
    const text = head.headers["retry-after"];
    return head.status === STATUS_UNAVAILABLE && text !== undefined ? parseRetryAfter(text) : undefined;
}

/** Reads the load that an upstream reports in an answer; `undefined` where it reports none. */
export function readLoad(head: AnswerStatusAndHeaders, names: HeaderNames): ReportedLoad | undefined {
    const text = head.headers[names.load];
    const [running, waiting, slots, workTime = Number.NaN] = typeof text === "string"
        ? text.split(",").map(Number)
        : [];
    if (running === undefined || waiting === undefined || slots === undefined) {
        return undefined;
    }
    if (!Number.isFinite(running + waiting)) {
        return undefined;
    }
    const load = { running, waiting, slots };
    return workTime > 0 && Number.isFinite(workTime) ? { ...load, slowdown: workTime / USUAL_WORK_TIME } : load;
}
