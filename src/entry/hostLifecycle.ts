/**
 * The phases of a host: it serves, leaves the fleet, accepts no further requests, and is closed.
 *
 * @module
 */

/**
 * Records the phase that a host has reached; no phase is ever undone.
 *
 * @example
 * ```ts
 * const lifecycle = new HostLifecycle();
 * lifecycle.leave();
 * console.log(lifecycle.isLeaving, lifecycle.isClosedToCallers); // true false
 * ```
 */
export class HostLifecycle {
    #isLeaving = false;
    #isClosedToCallers = false;
    #isClosed = false;

    get isLeaving(): boolean {
        return this.#isLeaving;
    }

    /** True once a leaving host accepts no further requests. */
    get isClosedToCallers(): boolean {
        return this.#isClosedToCallers;
    }

    get isClosed(): boolean {
        return this.#isClosed;
    }

    leave(): void {
        this.#isLeaving = true;
    }

    closeToCallers(): void {
        this.#isClosedToCallers = true;
    }

    close(): void {
        this.#isClosed = true;
    }
}
