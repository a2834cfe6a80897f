/**
 * Tells errors of the network from those with which a client gives a connection up.
 *
 * @module
 */

/**
 * Returns whether a connection's error comes from a call on the network, such as `ECONNRESET`.
 *
 * @param error The error of a connection or of a write on it, if there is one.
 *
 * @example
 * ```ts
 * isNetworkError(socket.errored); // false for a connection that was destroyed here
 * ```
 */
export function isNetworkError(error: Error | null | undefined): error is NodeJS.ErrnoException {
    return error instanceof Error && "syscall" in error;
}
