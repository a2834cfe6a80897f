/**
 * Which headers pass through a host.
 *
 * @module
 */

/** Headers that concern one connection only. */
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

/** Headers that the `Connection` header names concern one connection too. */
function namedByConnection(rawHeaders: readonly string[]): Set<string> {
    const named = new Set<string>();
    for (let index = 0; index < rawHeaders.length; index += 2) {
        if (rawHeaders[index]?.toLowerCase() === "connection") {
            (rawHeaders[index + 1] ?? "").split(",").forEach(name => named.add(name.trim().toLowerCase()));
        }
    }
    return named;
}

/**
 * Copies the headers that pass through, as they came.
 *
 * @param rawHeaders Names and values by turns.
 * @param dropped Further names to leave out, in lower case.
 * @returns Names and values by turns.
 */
export function passThroughHeaders(rawHeaders: readonly string[], dropped: ReadonlySet<string>): string[] {
    const named = namedByConnection(rawHeaders);
    const passed: string[] = [];
    for (let index = 0; index < rawHeaders.length; index += 2) {
        const name = rawHeaders[index] ?? "";
        const lower = name.toLowerCase();
        if (!CONNECTION_HEADERS.has(lower) && !dropped.has(lower) && !named.has(lower)) {
            passed.push(name, rawHeaders[index + 1] ?? "");
        }
    }
    return passed;
}
