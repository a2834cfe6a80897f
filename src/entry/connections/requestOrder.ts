/**
 * The order in which the requests of one connection are handled and answered.
 *
 * @module
 */

/** Limits of what waits on one connection before nothing further is read from it. */
export interface WaitingLimits {
    readonly requests: number;
    readonly bytes: number;
}

/** One request's place in the order. */
export interface RequestPlace<Request> {
    /** `undefined` until the request was read. */
    readonly request: Request | undefined;
}

interface MutablePlace<Request> {
    request: Request | undefined;
    bytes: number;
    hasBegun: boolean;
}

/**
 * Lets the requests of a connection begin one after another: each once it was read and the one before it has ended.
 *
 * @example
 * ```ts
 * const order = new RequestOrder<string>();
 * const first = order.add(300);
 * const second = order.add(300);
 * order.setRead(second, "second", 0);
 * order.setRead(first, "first", 0);
 * console.log(order.takeTurn(), order.takeTurn()); // "first" undefined
 * order.end(first);
 * console.log(order.exceeds({ requests: 16, bytes: 65_536 }), order.takeTurn()); // false "second"
 * ```
 */
export class RequestOrder<Request> {
    readonly #places: MutablePlace<Request>[] = [];

    /** Number of requests that have not ended. */
    get size(): number {
        return this.#places.length;
    }

    /** True while a request follows the one whose turn it is. */
    get hasWaiting(): boolean {
        return this.#places.length > 1;
    }

    /** True while a request that was read has not ended. */
    get hasRead(): boolean {
        return this.#places.some(({ request }) => request !== undefined);
    }

    /** Returns whether more waits than limits allow. */
    exceeds(limits: WaitingLimits): boolean {
        const waiting = this.#places.slice(1);
        return waiting.length > limits.requests
            || waiting.reduce((total, { bytes }) => total + bytes, 0) > limits.bytes;
    }

    /** Appends a request whose head was read, with the bytes of that. */
    add(headBytes: number): RequestPlace<Request> {
        const place: MutablePlace<Request> = { request: undefined, bytes: headBytes, hasBegun: false };
        this.#places.push(place);
        return place;
    }

    /** Records that a request was read whole, and the bytes of its body. */
    setRead(place: RequestPlace<Request>, request: Request, bodyBytes: number): void {
        const known = this.#places.find(each => each === place);
        if (known !== undefined) {
            known.request = request;
            known.bytes += bodyBytes;
        }
    }

    /** Returns the request whose turn has come, once; `undefined` while there is none. */
    takeTurn(): Request | undefined {
        const [first] = this.#places;
        if (first?.request === undefined || first.hasBegun) {
            return undefined;
        }
        first.hasBegun = true;
        return first.request;
    }

    /** Removes a request that has ended. */
    end(place: RequestPlace<Request>): void {
        const index = this.#places.findIndex(each => each === place);
        if (index !== -1) {
            this.#places.splice(index, 1);
        }
    }

    /** Removes the requests after the first one. */
    removeWaiting(): void {
        this.#places.splice(1);
    }
}
