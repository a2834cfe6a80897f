/**
 * Notices a body whose caller sends nothing more of it.
 *
 * @module
 */
import { type Acts } from "../actQueue.js";

/** Options of {@linkcode BodyIdleTimer}. */
export interface BodyIdleTimerOptions {
    readonly acts: Pick<Acts, "afterReading">;
    readonly timeoutMilliseconds: number;
    /** Returns whether nothing of the connection is read for now. */
    readonly isReadingPaused: () => boolean;
    /** Nothing came for the time limit, though the host read what had arrived. */
    readonly onIdle: () => void;
}

/** Calls back where no byte of a body comes for a time. */
export class BodyIdleTimer {
    readonly #options: BodyIdleTimerOptions;
    readonly #timer: NodeJS.Timeout;
    #pieces = 0;
    #isClosed = false;

    constructor(options: BodyIdleTimerOptions) {
        this.#options = options;
        this.#timer = setTimeout(() => this.#check(), options.timeoutMilliseconds);
    }

    /** Records that a piece has come. */
    recordPiece(): void {
        this.#pieces += 1;
        if (!this.#isClosed) {
            this.#timer.refresh();
        }
    }

    close(): void {
        this.#isClosed = true;
        clearTimeout(this.#timer);
    }

    /** The timer of a host that was suspended fires before what has arrived meanwhile is read. */
    #check(): void {
        const { acts, isReadingPaused, onIdle } = this.#options;
        const piecesBefore = this.#pieces;
        acts.afterReading(() => {
            if (this.#isClosed) {
                return;
            }
            if (this.#pieces === piecesBefore && !isReadingPaused()) {
                onIdle();
            }
            else {
                this.#timer.refresh();
            }
        });
    }
}
