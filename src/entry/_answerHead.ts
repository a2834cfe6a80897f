/**
 * What the head of an upstream's answer proves.
 *
 * @module
 */
import { type AttemptFailure, parseRetryAfter, type ReportedLoad, type RequestedPause } from "../forwarding/index.js";
import { type HeaderNames } from "./siteProtocol.js";
import { type AnswerHead } from "./upstreamCall.js";

const STATUS_OK_FIRST = 200;
const STATUS_OK_LAST = 299;
const STATUS_MISDIRECTED = 421;
const STATUS_UNAVAILABLE = 503;
const FIRST_SERVER_ERROR = 500;

/** What an answer has to fit. */
export interface AnswerExpectation {
    readonly requestId: string;
    readonly upstream: string;
    readonly namesModel: boolean;
    /** True once the caller has a part of an answer, which only a success can go on. */
    readonly answerBegun: boolean;
    /** Tells whether an upstream's own failure is worth another upstream, rather than being passed on. */
    readonly mayRepeatError: () => boolean;
}

/** Tells whether an answer reports success. */
export function isSuccess({ status }: AnswerHead): boolean {
    return status >= STATUS_OK_FIRST && status <= STATUS_OK_LAST;
}

/** Tells whether an answer reports a failure of the upstream's own. */
export function isServerError({ status }: AnswerHead): boolean {
    return status >= FIRST_SERVER_ERROR;
}

function judgeNotRun(head: AnswerHead, expectation: AnswerExpectation, names: HeaderNames): AttemptFailure {
    if (head.status !== STATUS_MISDIRECTED) {
        return "not-run";
    }
    const answering = head.headers[names.answeringUpstream];
    const isAnother = answering !== undefined && answering !== expectation.upstream;
    return isAnother || !expectation.namesModel ? "misdirected" : "not-resident";
}

/**
 * Tells what is wrong with an answer, by its head.
 *
 * @param head The head.
 * @param expectation What the answer has to fit.
 * @param names The site's header names.
 * @returns The failure; `undefined` for an answer to pass on.
 */
export function judgeHead(
    head: AnswerHead,
    expectation: AnswerExpectation,
    names: HeaderNames,
): AttemptFailure | undefined {
    if (head.headers[names.notRun] !== undefined || head.status === STATUS_MISDIRECTED) {
        return judgeNotRun(head, expectation, names);
    }
    const hasReceipt = head.headers[names.receipt] !== undefined;
    const isForAnother = head.headers[names.requestId] !== expectation.requestId;
    if (isForAnother || (isSuccess(head) && !hasReceipt) || head.headers["content-encoding"] !== undefined) {
        return "invalid-answer";
    }
    if (expectation.answerBegun && !isSuccess(head)) {
        return "upstream-error";
    }
    return isServerError(head) && (!hasReceipt || expectation.mayRepeatError()) ? "upstream-error" : undefined;
}

/**
 * Tells whether an answer says that the upstream which was asked leaves. An answer of another upstream, which has the
 * address by now, says nothing of it.
 */
export function saysLeaving(head: AnswerHead, upstream: string, names: HeaderNames): boolean {
    const answering = head.headers[names.answeringUpstream];
    return head.headers[names.upstreamLeaves] === "1" && (answering === undefined || answering === upstream);
}

/** Reads for how long an upstream that turned a request away wants no more; `undefined` where it does not say. */
export function readAskedPause(head: AnswerHead): RequestedPause | undefined {
    const text = head.headers["retry-after"];
    return head.status === STATUS_UNAVAILABLE && text !== undefined ? parseRetryAfter(text) : undefined;
}

/** Reads the load that an upstream reports with an answer; `undefined` where it reports none. */
export function readLoad(head: AnswerHead, names: HeaderNames): ReportedLoad | undefined {
    const text = head.headers[names.load];
    const [running, waiting, slots] = typeof text === "string" ? text.split(",").map(Number) : [];
    if (running === undefined || waiting === undefined || slots === undefined) {
        return undefined;
    }
    return Number.isFinite(running + waiting) ? { running, waiting, slots } : undefined;
}
