/**
 * Tells a connection that its other side closed from one that was reset.
 *
 * @module
 */
import { type Socket } from "node:net";
import { isNetworkError } from "./isNetworkError.js";

/** Servers skip an empty line in front of a request. */
const EMPTY_LINE = "\r\n";

/**
 * Holds back the end of a connection until it is known that the connection was not reset.
 *
 * The event loop reports a reset that arrives with the last bytes as an end, and Node's HTTP client takes the answer for
 * complete and destroys the connection at once. Writing on shows the difference: it fails after a reset, and succeeds
 * after an end. What is written goes behind the request, so an end within the request counts only once the request was
 * taken whole.
 *
 * @param socket The connection, on which an answer has begun that only its end completes.
 * @param onReset Called where the connection was reset, before it fails with that error; its end is then not reported to
 * anyone, nor is that of a connection that is destroyed meanwhile.
 *
 * @example
 * ```ts
 * request.on("response", answer => {
 *     confirmConnectionEnd(answer.socket, error => console.error(error.message));
 * });
 * ```
 */
export function confirmConnectionEnd(socket: Socket, onReset?: (error: NodeJS.ErrnoException) => void): void {
    const listeners = socket.rawListeners("end");
    socket.removeAllListeners("end");
    socket.once("end", () => {
        socket.write(EMPTY_LINE, error => {
            if (isNetworkError(error)) {
                onReset?.(error);
            }
            else if (!(error instanceof Error)) {
                listeners.forEach(listener => void Reflect.apply(listener, socket, []));
            }
        });
    });
}
