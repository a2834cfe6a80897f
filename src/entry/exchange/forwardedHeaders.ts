/**
 * Selects the headers that a host forwards.
 *
 * @module
 */

/** Hop-by-hop headers, which apply to one connection only. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
]);

/** Returns the names listed in `Connection` headers, in lower case; these headers are hop-by-hop too. */
function readConnectionNames(rawHeaders: readonly string[]): Set<string> {
    const named = new Set<string>();
    for (let index = 0; index < rawHeaders.length; index += 2) {
        if (rawHeaders[index]?.toLowerCase() === "connection") {
            (rawHeaders[index + 1] ?? "").split(",").forEach(name => named.add(name.trim().toLowerCase()));
        }
    }
    return named;
}

/**
 * Returns the headers to forward, unchanged and in order.
 *
 * @param rawHeaders Alternating names and values.
 * @param dropped Further names to leave out, in lower case.
 * @returns Alternating names and values.
 */
export function passThroughHeaders(rawHeaders: readonly string[], dropped: ReadonlySet<string>): string[] {
    const named = readConnectionNames(rawHeaders);
    const forwarded: string[] = [];
    for (let index = 0; index < rawHeaders.length; index += 2) {
        const name = rawHeaders[index] ?? "";
        const lower = name.toLowerCase();
        if (!CONNECTION_HEADERS.has(lower) && !dropped.has(lower) && !named.has(lower)) {
            forwarded.push(name, rawHeaders[index + 1] ?? "");
        }
    }
    return forwarded;
}
