/**
 * Bounds on the answers that a host gathers before it passes them on.
 *
 * @module
 */

/** Longest answer that is gathered whole. */
const MOST_BYTES_OF_ANSWER = 8 * 1024 * 1024;

/** What all gathered answers of a host may take together. */
const MOST_BYTES = 48 * 1024 * 1024;

/**
 * Counts the bytes that a host holds of unfinished answers.
 *
 * @example
 * ```ts
 * const held = new HeldBytes();
 * held.tryHold(1_024, 0); // true
 * held.release(1_024);
 * ```
 */
export class HeldBytes {
    #bytes = 0;

    /**
     * Books a piece of an answer; `false` where the answer, or all of them, would grow too large.
     *
     * @param pieceBytes The piece.
     * @param answerBytes What is held of its answer already.
     */
    tryHold(pieceBytes: number, answerBytes: number): boolean {
        if (answerBytes + pieceBytes > MOST_BYTES_OF_ANSWER || this.#bytes + pieceBytes > MOST_BYTES) {
            return false;
        }
        this.#bytes += pieceBytes;
        return true;
    }

    release(bytes: number): void {
        this.#bytes -= bytes;
    }
}
