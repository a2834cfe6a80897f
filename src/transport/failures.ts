/**
 * Classifies failures of HTTP calls.
 *
 * @module
 */

/** Returns an error and its chain of causes, outermost first. */
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
 * Returns whether a call failed before any of its bytes can have reached the server.
 *
 * Only a failure to connect proves that. Where an open connection closes or its network becomes unreachable, bytes may
 * already have arrived.
 *
 * @param error Reason with which the call's promise was rejected.
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
 * Returns whether a call was aborted because its time limit expired.
 *
 * @param error Reason with which the call's promise was rejected.
 *
 * @example
 * ```ts
 * const reason = isTimeoutError(error) ? "timed out" : describeError(error);
 * ```
 */
export function isTimeoutError(error: unknown): boolean {
    return listCauses(error).some(cause => (cause as { readonly name?: unknown; }).name === "TimeoutError");
}

/** Returns an error's name and message, without its stack. */
export function describeError(error: unknown): string {
    return error instanceof Error ? `${error.name}: ${error.message}` : String(error);
}
