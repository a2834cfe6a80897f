/**
 * Delays requests until it is known whether their callers are still connected.
 *
 * A host that was suspended or overloaded reads requests whose callers have disconnected meanwhile. The end of such a
 * connection is already in the socket, but the event loop reports it only after the request, in its next iteration.
 *
 * @module
 */
import { type Acts } from "../actQueue.js";
import { type Arrival } from "./arrival.js";
import { hasCallerLeft } from "./callerPresence.js";

/** Options of {@linkcode Arrivals}; one of the callbacks is called for each request. */
export interface ArrivalsOptions {
    readonly acts: Acts;
    readonly onBegin: (arrival: Arrival) => void;
    readonly onCallerLeft: (arrival: Arrival) => void;
}

/** Begins each request in its turn among the acts of the host, if its caller is still connected. */
export class Arrivals {
    readonly #options: ArrivalsOptions;

    constructor(options: ArrivalsOptions) {
        this.#options = options;
    }

    add(arrival: Arrival): void {
        this.#options.acts.enqueue(() => this.#begin(arrival));
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
