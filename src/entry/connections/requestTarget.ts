/**
 * What a request asks for: the host name and path of its first line and `Host` field.
 *
 * @module
 */
import { type IncomingMessage } from "node:http";

const ABSOLUTE_FORM = /^https?:\/\/([^/?#]*)(.*)$/iu;

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
