/**
 * Decides how the end of an answer's body is marked.
 *
 * @module
 */
import { hasBody } from "./hasBody.js";

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
export function framingOf({ headers, status }: FramingHead, method: string): AnswerFraming {
    if (!hasBody(status, method)) {
        return "no-body";
    }
    if (headers["transfer-encoding"] !== undefined) {
        return "chunks";
    }
    return headers["content-length"] === undefined ? "connection-end" : "length";
}
