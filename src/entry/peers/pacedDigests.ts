/**
 * When digests are published: never while earlier ones of this host still wait to leave.
 *
 * @module
 */

/** Options of {@linkcode PacedDigests}. */
export interface PacedDigestsOptions {
    /** Publishes a digest to the own cell, and to other cells where this host represents its cell. */
    readonly publish: () => void;
    /** Publishes a digest to the own cell alone. */
    readonly publishToOwnCell: () => void;
    /** Returns how long the digests and aggregates that wait take to leave at least; 0 where none waits. */
    readonly backlogMilliseconds: () => number;
}

/**
 * Publishes digests on request. Requests while earlier digests wait have one published once these have left, with what
 * is known by then. Messages of other kinds, which share the rate with digests, do not hold them up.
 *
 * @example
 * ```ts
 * const digests = new PacedDigests({ publish, publishToOwnCell, backlogMilliseconds });
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

    /** Has a digest published, now or once earlier ones have left. */
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

    /** Publishes a digest to the own cell, which takes a silent host for one that has stopped, and requests one to all. */
    requestRound(): void {
        const { backlogMilliseconds, publishToOwnCell } = this.#options;
        if (!this.#closed && backlogMilliseconds() > 0) {
            publishToOwnCell();
        }
        this.request();
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
