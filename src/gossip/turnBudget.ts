/**
 * Work in pieces, of which each turn of the event loop does a bounded share.
 *
 * @module
 */

/** A turn begins no further piece after this time. */
const MAXIMUM_TURN_MILLISECONDS = 4;

/** Bounds the pieces of a turn, whatever the clock says. */
const MAXIMUM_PIECES_PER_TURN = 4;

/** Options of {@linkcode TurnBudget}. */
export interface TurnBudgetOptions {
    /** Does one piece of work; returns whether there is more. */
    readonly work: () => boolean;
    /** Reads the monotonic clock; `performance.now` by default. */
    readonly readClock?: () => number;
    /** Calls back in the next turn of the event loop; `setImmediate` by default. */
    readonly schedule?: (callback: () => void) => void;
}

/**
 * Does pieces of work until none is left, a few in each turn of the event loop; other work has its turn in between.
 *
 * @example
 * ```ts
 * const budget = new TurnBudget({ work: () => handleNext() });
 * budget.start();
 * budget.close();
 * ```
 */
export class TurnBudget {
    readonly #options: Required<TurnBudgetOptions>;
    #isScheduled = false;
    #closed = false;

    constructor(
        { readClock = () => performance.now(), schedule = callback => void setImmediate(callback), work }:
            TurnBudgetOptions,
    ) {
        this.#options = { readClock, schedule, work };
    }

    /** Begins with the work, unless that has begun. */
    start(): void {
        if (!this.#isScheduled && !this.#closed) {
            this.#isScheduled = true;
            this.#options.schedule(() => this.#performTurn());
        }
    }

    /** Does no more work. */
    close(): void {
        this.#closed = true;
    }

    #performTurn(): void {
        this.#isScheduled = false;
        if (this.#closed) {
            return;
        }
        const { readClock, work } = this.#options;
        const endMilliseconds = readClock() + MAXIMUM_TURN_MILLISECONDS;
        let hasMore = true;
        for (let pieces = 0; hasMore && pieces < MAXIMUM_PIECES_PER_TURN; pieces += 1) {
            hasMore = work();
            if (readClock() >= endMilliseconds) {
                break;
            }
        }
        if (hasMore) {
            this.start();
        }
    }
}
