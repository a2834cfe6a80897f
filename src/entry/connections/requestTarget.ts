/**
 * What a request asks for: the host name and path of its first line and `Host` field.
 *
 * @module
 */
import { type IncomingMessage } from "node:http";

const ABSOLUTE_FORM = /^https?:\/\/([^/?#]*)(.*)$/iu;

/** Bytes that no request to an upstream can have in its path, though the parser of callers' requests accepts some. */
const INVALID_CHARACTER = /[^\u0021-\u00ff]/u;

/** The target of a request. */
export interface RequestTarget {
    readonly host: string;
    /** Path and query, with the bytes that the caller sent. */
    readonly pathAndQuery: string;
}

/**
 * Reads the target of a request, which callers may send as a path or as a whole URL; the URL's host replaces that of the
 * `Host` field.
 *
 * @param message The request's first line and fields.
 * @returns Host name, path and query.
 *
 * @example
 * ```ts
 * readTarget({ url: "http://mill.example/orders/1?x=2", headers: {} }); // mill.example, /orders/1?x=2
 * ```
 */
export function readTarget({ headers, url = "/" }: Pick<IncomingMessage, "headers" | "url">): RequestTarget {
    const [isAbsolute, authority = "", rest = ""] = ABSOLUTE_FORM.exec(url) ?? [];
    if (isAbsolute === undefined) {
        return { host: headers.host ?? "", pathAndQuery: url };
    }
    return { host: authority, pathAndQuery: rest.startsWith("/") ? rest : `/${rest}` };
}

/**
 * Returns whether a request's path or URL has only characters that can be sent to an upstream.
 *
 * @param message The request's first line.
 *
 * @example
 * ```ts
 * isValidTarget({ url: "/orders/\t1" }); // false
 * ```
 */
export function isValidTarget({ url = "/" }: Pick<IncomingMessage, "url">): boolean {
    return !INVALID_CHARACTER.test(url);
}
