/**
 * Decides how the end of an answer's body is marked.
 *
 * @module
 */
import { hasBody } from "./hasBody.js";

const CHUNKED = "chunked";

/** Names no coding at all; of an earlier edition of HTTP/1.1. */
const IDENTITY = "identity";

/** What marks the end of an answer's body. */
export type AnswerFraming =
    /** The answer has no body. */
    | "no-body"
    | "length"
    | "chunks"
    /** Only the end of the connection, which is therefore no end where the connection was reset. */
    | "connection-end";

/** The part of an answer's head that marks the end of its body. */
export interface FramingHead {
    readonly status: number;
    /** By name in lower case. */
    readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
}

/** Returns the transfer codings of a body, in lower case and in the order in which they were applied. */
function transferCodings({ headers }: Pick<FramingHead, "headers">): readonly string[] {
    const value = headers["transfer-encoding"];
    return value === undefined ? [] : String(value).split(",").map(coding => coding.trim().toLowerCase());
}

/**
 * Returns whether what a reader gets of an answer's body is the body itself: chunks are taken apart for it, other
 * transfer codings are not undone.
 *
 * @param head Headers of the answer.
 *
 * @example
 * ```ts
 * isBodyReadable({ headers: { "transfer-encoding": "gzip, chunked" } }); // false
 * ```
 */
export function isBodyReadable(head: Pick<FramingHead, "headers">): boolean {
    const [coding, ...more] = transferCodings(head);
    return coding === undefined || (more.length === 0 && (coding === CHUNKED || coding === IDENTITY));
}

/**
 * Returns what marks the end of an answer's body.
 *
 * @param head Status and headers of the answer.
 * @param method Method of its request.
 *
 * @example
 * ```ts
 * framingOf({ status: 200, headers: { "content-length": "5" } }, "GET"); // "length"
 * ```
 */
export function framingOf(head: FramingHead, method: string): AnswerFraming {
    if (!hasBody(head.status, method)) {
        return "no-body";
    }
    const codings = transferCodings(head);
    if (codings.length > 0) {
        return codings.at(-1) === CHUNKED ? "chunks" : "connection-end";
    }
    return head.headers["content-length"] === undefined ? "connection-end" : "length";
}
