/**
 * Delays requests until it is known whether their callers are still connected.
 *
 * A host that was suspended or overloaded reads requests whose callers have disconnected meanwhile. The end of such a
 * connection is already in the socket, but the event loop reports it only after the request, in its next iteration.
 *
 * @module
 */
import { type Arrival } from "./arrival.js";

/** Callbacks of {@linkcode Arrivals}; exactly one is called for each request. */
export interface ArrivalsOptions {
    readonly onBegin: (arrival: Arrival) => void;
    readonly onCallerLeft: (arrival: Arrival) => void;
}

/** The message's socket is asked: a response has none before its turn on the connection. */
function hasCallerLeft({ message: { socket }, response }: Arrival): boolean {
    return response.destroyed || socket.destroyed || socket.readableEnded;
}

/** Begins each request one full event loop iteration after it was read, if its caller is still connected. */
export class Arrivals {
    readonly #options: ArrivalsOptions;
    /** Requests read in the current iteration of the event loop. */
    #arrivalsOfIteration: Arrival[] = [];

    constructor(options: ArrivalsOptions) {
        this.#options = options;
    }

    add(arrival: Arrival): void {
        if (this.#arrivalsOfIteration.length === 0) {
            setImmediate(() => this.#endIteration());
        }
        this.#arrivalsOfIteration.push(arrival);
    }

    /** Defers the requests by another immediate, which runs after the event loop has polled all sockets again. */
    #endIteration(): void {
        const arrivals = this.#arrivalsOfIteration;
        this.#arrivalsOfIteration = [];
        setImmediate(() => arrivals.forEach(arrival => this.#begin(arrival)));
    }

    #begin(arrival: Arrival): void {
        if (hasCallerLeft(arrival)) {
            this.#options.onCallerLeft(arrival);
        }
        else {
            this.#options.onBegin(arrival);
        }
    }
}
