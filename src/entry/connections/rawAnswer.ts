/**
 * Answers that are written to a connection as bytes, where the HTTP server has no response for them.
 *
 * @module
 */
import { STATUS_CODES } from "node:http";

/** An answer after which its connection closes. */
export interface RawAnswer {
    readonly status: number;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
}

/**
 * Renders an answer.
 *
 * @param answer The answer.
 * @returns Its bytes, as text.
 *
 * @example
 * ```ts
 * socket.end(renderRawAnswer({ status: 503, headers: { "Retry-After": "0" } }));
 * ```
 */
export function renderRawAnswer({ body = "", headers = {}, status }: RawAnswer): string {
    return [
        `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ""}`,
        "Connection: close",
        `Content-Length: ${Buffer.byteLength(body)}`,
        ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
        "",
        body,
    ].join("\r\n");
}
