/**
 * The next dispatch of a request.
 *
 * @module
 */
import { type Acts } from "../actQueue.js";

/** Interval of a waiting request's dispatches, which repeat its adapter request since datagrams may be lost. */
const DISPATCH_RETRY_MILLISECONDS = 120;

/** Options of {@linkcode DispatchTimer}. */
export interface DispatchTimerOptions {
    readonly acts: Acts;
    /** Sends the request, or lets it wait. */
    readonly dispatch: () => void;
}

/** Dispatches a request once after some time; a later call replaces an earlier one. */
export class DispatchTimer {
    readonly #options: DispatchTimerOptions;
    #timer: NodeJS.Timeout | undefined;

    constructor(options: DispatchTimerOptions) {
        this.#options = options;
    }

    /** Dispatches the request after the given time, or after the interval of waiting requests if that is shorter. */
    schedule(milliseconds: number = DISPATCH_RETRY_MILLISECONDS): void {
        this.close();
        const { acts, dispatch } = this.#options;
        const timer = setTimeout(
            () =>
                acts.enqueue(() => {
                    if (this.#timer === timer) {
                        dispatch();
                    }
                }),
            Math.min(milliseconds, DISPATCH_RETRY_MILLISECONDS),
        );
        this.#timer = timer;
    }

    /** Cancels the dispatch that is scheduled. */
    close(): void {
        clearTimeout(this.#timer);
        this.#timer = undefined;
    }
}
