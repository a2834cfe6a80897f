/**
 * What the failure of an HTTP call proves.
 *
 * @module
 */

/** Lists an error and its causes, outermost first. */
function listCauses(error: unknown): unknown[] {
    const causes: unknown[] = [];
    let current = error;
    while (current !== undefined && current !== null && !causes.includes(current)) {
        causes.push(current);
        current = (current as { readonly cause?: unknown; }).cause;
    }
    return causes;
}

/**
 * Tells whether a call failed before any of its bytes can have reached the other end.
 *
 * Only a connection that was never made proves that: an open connection that ends, or whose network becomes
 * unreachable, proves nothing.
 *
 * @param error What the call was rejected with.
 *
 * @example
 * ```ts
 * const kind = failedBeforeSending(error) ? "not-sent" : "no-answer";
 * ```
 */
export function failedBeforeSending(error: unknown): boolean {
    return listCauses(error).some(cause => {
        const { code, syscall } = cause as { readonly code?: unknown; readonly syscall?: unknown; };
        return syscall === "connect" || code === "UND_ERR_CONNECT_TIMEOUT";
    });
}

/**
 * Tells whether a call was given up because its time ran out.
 *
 * @param error What the call was rejected with.
 *
 * @example
 * ```ts
 * const call = AbortSignal.timeout(100);
 * ```
 */
export function ranOutOfTime(error: unknown): boolean {
    return listCauses(error).some(cause => (cause as { readonly name?: unknown; }).name === "TimeoutError");
}

/** Describes an error in one line. */
export function describeError(error: unknown): string {
    return error instanceof Error ? `${error.name}: ${error.message}` : String(error);
}
