/**
 * Whether the caller of a request is still there.
 *
 * @module
 */
import { type IncomingMessage, type ServerResponse } from "node:http";

/** A caller's request and the response to it. */
export interface CallerMessages {
    readonly message: IncomingMessage;
    readonly response: ServerResponse;
}

/**
 * Returns whether the end of a caller's connection was read. The message's socket is asked: a response has none before
 * its turn on the connection.
 */
export function hasCallerLeft({ message: { socket }, response }: CallerMessages): boolean {
    return response.destroyed || socket.destroyed || socket.readableEnded;
}
