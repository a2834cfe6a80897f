/**
 * The next dispatch of a request.
 *
 * @module
 */

/** Interval of a waiting request's dispatches, which repeat its adapter request since datagrams may be lost. */
const DISPATCH_RETRY_MILLISECONDS = 120;

/** Dispatches a request once after some time; a later call replaces an earlier one. */
export class DispatchTimer {
    readonly #dispatch: () => void;
    #timer: NodeJS.Timeout | undefined;

    /** @param dispatch Sends the request, or lets it wait. */
    constructor(dispatch: () => void) {
        this.#dispatch = dispatch;
    }

    /** Dispatches the request after the given time, or after the interval of waiting requests if that is shorter. */
    schedule(milliseconds: number = DISPATCH_RETRY_MILLISECONDS): void {
        this.close();
        this.#timer = setTimeout(this.#dispatch, Math.min(milliseconds, DISPATCH_RETRY_MILLISECONDS));
    }

    /** Cancels the dispatch that is scheduled. */
    close(): void {
        clearTimeout(this.#timer);
    }
}
