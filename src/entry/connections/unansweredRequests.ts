/**
 * The requests of each connection that have no whole answer yet.
 *
 * @module
 */
import { type IncomingMessage } from "node:http";
import { type Duplex } from "node:stream";

/**
 * Counts unanswered requests by connection, and reports those with which a connection closes.
 *
 * @example
 * ```ts
 * const unanswered = new UnansweredRequests(requests => logger.info("connection closed", { requests }));
 * const before = unanswered.add(message);
 * response.on("finish", () => unanswered.delete(message));
 * ```
 */
export class UnansweredRequests {
    readonly #onClosed: (requests: readonly IncomingMessage[]) => void;
    readonly #ofConnection = new Map<Duplex, Set<IncomingMessage>>();

    /**
     * @param onClosed Is called with the unanswered requests of a connection that has closed.
     */
    constructor(onClosed: (requests: readonly IncomingMessage[]) => void) {
        this.#onClosed = onClosed;
    }

    /** Adds a request, and returns the number of unanswered ones before it on its connection. */
    add(message: IncomingMessage): number {
        const requests = this.#requestsOf(message.socket);
        const before = requests.size;
        requests.add(message);
        return before;
    }

    /** Removes a request whose answer was sent. */
    delete(message: IncomingMessage): void {
        this.#ofConnection.get(message.socket)?.delete(message);
    }

    #requestsOf(socket: Duplex): Set<IncomingMessage> {
        const known = this.#ofConnection.get(socket);
        if (known !== undefined) {
            return known;
        }
        const requests = new Set<IncomingMessage>();
        this.#ofConnection.set(socket, requests);
        socket.once("close", () => this.#reportClosed(socket, requests));
        return requests;
    }

    #reportClosed(socket: Duplex, requests: ReadonlySet<IncomingMessage>): void {
        this.#ofConnection.delete(socket);
        if (requests.size > 0) {
            this.#onClosed([...requests]);
        }
    }
}
