/**
 * Limits the memory of answers that a host buffers before it forwards them.
 *
 * @module
 */

/** Maximum size of an answer that is buffered whole. */
const MAXIMUM_ANSWER_BYTES = 8 * 1024 * 1024;

/** Maximum size of all buffered answers of a host together. */
const MAXIMUM_TOTAL_BYTES = 48 * 1024 * 1024;

/**
 * Counts the buffered bytes of unfinished answers.
 *
 * @example
 * ```ts
 * const buffered = new BufferedAnswerBytes();
 * buffered.tryReserve(1_024, 0); // true
 * buffered.release(1_024);
 * ```
 */
export class BufferedAnswerBytes {
    #bytes = 0;

    /**
     * Reserves memory for a piece of an answer; returns `false`, and reserves none, where the answer or all answers
     * together would exceed their maximum.
     *
     * @param pieceBytes Size of the piece.
     * @param answerBytes Bytes of the same answer that are buffered already.
     */
    tryReserve(pieceBytes: number, answerBytes: number): boolean {
        if (answerBytes + pieceBytes > MAXIMUM_ANSWER_BYTES || this.#bytes + pieceBytes > MAXIMUM_TOTAL_BYTES) {
            return false;
        }
        this.#bytes += pieceBytes;
        return true;
    }

    release(bytes: number): void {
        this.#bytes -= bytes;
    }
}
