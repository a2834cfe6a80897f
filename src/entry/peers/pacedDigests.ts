/**
 * When digests are published: never while messages of this host to its peers still wait to leave.
 *
 * @module
 */

/** Options of {@linkcode PacedDigests}. */
export interface PacedDigestsOptions {
    /** Publishes a digest to the own cell, and to other cells where this host represents its cell. */
    readonly publish: () => void;
    /** Returns the time until the messages that wait have left. */
    readonly backlogMilliseconds: () => number;
}

/**
 * Publishes digests on request. Requests while earlier messages wait have one digest published once these have left,
 * with what is known by then.
 *
 * @example
 * ```ts
 * const digests = new PacedDigests({ publish, backlogMilliseconds });
 * digests.request();
 * digests.close();
 * ```
 */
export class PacedDigests {
    readonly #options: PacedDigestsOptions;
    #timer: NodeJS.Timeout | undefined;
    #closed = false;

    constructor(options: PacedDigestsOptions) {
        this.#options = options;
    }

    /** Has a digest published, now or once earlier messages have left. */
    request(): void {
        if (this.#closed || this.#timer !== undefined) {
            return;
        }
        const { backlogMilliseconds, publish } = this.#options;
        const backlog = backlogMilliseconds();
        if (backlog === 0) {
            publish();
        }
        else {
            this.#timer = setTimeout(() => this.#requestAgain(), backlog);
        }
    }

    close(): void {
        this.#closed = true;
        clearTimeout(this.#timer);
    }

    #requestAgain(): void {
        this.#timer = undefined;
        this.request();
    }
}
