/**
 * Reads connections in turns, so that those that bring most leave time to the others.
 *
 * @module
 */
import { type Socket } from "node:net";
import { readHandleOf } from "./readHandle.js";

/** Reads this large wait for their connection's next turn; 64 KiB hold ten thousand chunks of one byte. */
const LARGE_READ_BYTES = 16 * 1024;

/** Connections with large reads that are read on in one iteration of the event loop. */
const CONNECTIONS_IN_TURN = 2;

/**
 * Stops reading a connection after a large read, and reads on in its turn. Otherwise the event loop reads a connection
 * up to 32 times before it turns to another, and all that bring much before it turns to the rest.
 *
 * A paused stream would read once more, and whoever reads its answer resumes it; the handle is stopped instead.
 *
 * @example
 * ```ts
 * const turns = new ReadTurns();
 * socket.on("data", (bytes: Buffer) => turns.recordRead(socket, bytes));
 * ```
 */
export class ReadTurns {
    readonly #waiting = new Set<Socket>();
    #isScheduled = false;

    /** Records what was read of a connection; to be called in a listener of its data. */
    recordRead(socket: Socket, { length }: Buffer): void {
        if (length < LARGE_READ_BYTES) {
            return;
        }
        const handle = readHandleOf(socket);
        if (handle === undefined) {
            return;
        }
        handle.readStop();
        this.#waiting.add(socket);
        this.#schedule();
    }

    #schedule(): void {
        if (!this.#isScheduled) {
            this.#isScheduled = true;
            setImmediate(() => this.#takeTurn());
        }
    }

    #takeTurn(): void {
        this.#isScheduled = false;
        let connections = 0;
        for (const socket of this.#waiting) {
            if (connections === CONNECTIONS_IN_TURN) {
                this.#schedule();
                return;
            }
            this.#waiting.delete(socket);
            const handle = readHandleOf(socket);
            if (handle?.reading === true) {
                handle.readStart();
                connections += 1;
            }
        }
    }
}

/** The turns of all connections of this process, which share its event loop. */
export const readTurns = new ReadTurns();
