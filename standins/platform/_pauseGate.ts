/**
 * A gate that holds the steps of a stand-in back while it is paused.
 *
 * @module
 */

/** Steps wait at it from `close` to `open`. */
export class PauseGate {
    #opened: Promise<void> | undefined;
    #open: () => void = () => undefined;

    /** Holds all further steps back. */
    close(): void {
        this.#opened ??= new Promise(resolve => {
            this.#open = resolve;
        });
    }

    /** Lets the steps go on that were held back. */
    open(): void {
        this.#opened = undefined;
        this.#open();
    }

    /** Resolves at once where the gate is open, and otherwise once it is. */
    async passed(): Promise<void> {
        while (this.#opened !== undefined) {
            await this.#opened;
        }
    }
}
