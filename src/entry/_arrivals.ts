/**
 * Requests that were read and are about to begin.
 *
 * A host that was stopped or overloaded finds requests whose callers have given up meanwhile. The end of such a caller's
 * connection is already there, but the event loop reports it only after the request, in its next turn.
 *
 * @module
 */
import { type IncomingMessage, type ServerResponse } from "node:http";

/** A request as it was read. */
export interface Arrival {
    readonly message: IncomingMessage;
    readonly response: ServerResponse;
    readonly body: Buffer;
    readonly arrivedAtMilliseconds: number;
}

/** Who is told of a request. */
export interface ArrivalsOptions {
    readonly onBegin: (arrival: Arrival) => void;
    readonly onCallerLeft: (arrival: Arrival) => void;
}

function hasLeft({ response }: Arrival): boolean {
    const { socket } = response;
    return response.destroyed || socket === null || socket.destroyed || socket.readableEnded;
}

/** Lets the event loop take one whole turn after a request was read, and begins it if its caller is still there. */
export class Arrivals {
    readonly #options: ArrivalsOptions;
    /** Read in the present turn of the event loop. */
    #read: Arrival[] = [];

    constructor(options: ArrivalsOptions) {
        this.#options = options;
    }

    add(arrival: Arrival): void {
        if (this.#read.length === 0) {
            setImmediate(() => this.#endTurn());
        }
        this.#read.push(arrival);
    }

    /** The next immediate runs after the event loop has looked at all sockets again. */
    #endTurn(): void {
        const arrivals = this.#read;
        this.#read = [];
        setImmediate(() => arrivals.forEach(arrival => this.#begin(arrival)));
    }

    #begin(arrival: Arrival): void {
        if (hasLeft(arrival)) {
            this.#options.onCallerLeft(arrival);
        }
        else {
            this.#options.onBegin(arrival);
        }
    }
}
