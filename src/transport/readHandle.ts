/**
 * The part of a socket that starts and stops its reading, below its stream.
 *
 * @module
 */
import { type Socket } from "node:net";

/** Handle of a socket; Node's types do not name it. */
export interface ReadHandle {
    /** Whether the socket's stream wants to read. */
    readonly reading: boolean;
    readStart(): void;
    readStop(): void;
}

/**
 * Returns the handle of a socket; `undefined` where it has none, as once it is closed. A paused stream would still read
 * once more, where a stopped handle does not.
 *
 * @param socket The socket.
 *
 * @example
 * ```ts
 * readHandleOf(socket)?.readStop();
 * ```
 */
export function readHandleOf(socket: Socket): ReadHandle | undefined {
    return (socket as Socket & { readonly _handle?: ReadHandle | null; })._handle ?? undefined;
}
