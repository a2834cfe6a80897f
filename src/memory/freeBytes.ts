/**
 * Frees memory without waiting for its collection.
 *
 * @module
 */
import { type MessagePort } from "node:worker_threads";

/** Memory that is transferred to a closed port is freed, as nobody receives it. */
function createClosedPort(): MessagePort {
    const { port1 } = new MessageChannel();
    port1.close();
    return port1;
}

const CLOSED_PORT = createClosedPort();

/**
 * Frees the memory of bytes that nothing refers to any more, and empties them. Bytes that share their memory with others
 * are left to be collected. Must not be called for bytes that are still being written to a socket.
 *
 * @param bytes The bytes.
 *
 * @example
 * ```ts
 * freeBytes(piece);
 * ```
 */
export function freeBytes({ buffer, byteLength }: Buffer): void {
    if (byteLength > 0 && byteLength === buffer.byteLength && buffer instanceof ArrayBuffer) {
        CLOSED_PORT.postMessage(undefined, [buffer]);
    }
}
