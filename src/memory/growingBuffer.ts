/**
 * Bytes that arrive in pieces.
 *
 * @module
 */

const FIRST_BYTES = 1_024;
const GROWTH = 2;

const NO_BYTES = Buffer.alloc(0);

/**
 * Appends pieces to the bytes before them, at a cost that follows from their bytes, however small they are.
 *
 * @example
 * ```ts
 * const buffer = new GrowingBuffer();
 * buffer.append(Buffer.from("a"));
 * buffer.append(Buffer.from("b"));
 * buffer.take().toString(); // "ab"
 * ```
 */
export class GrowingBuffer {
    #bytes = NO_BYTES;
    #length = 0;

    /** Number of bytes that were appended. */
    get length(): number {
        return this.#length;
    }

    /** Memory that they take. */
    get heldBytes(): number {
        return this.#bytes.length;
    }

    /** All bytes, until more are appended or they are taken. */
    get bytes(): Buffer {
        return this.#bytes.subarray(0, this.#length);
    }

    append(piece: Buffer): void {
        const length = this.#length + piece.length;
        if (length > this.#bytes.length) {
            const grown = Buffer.allocUnsafeSlow(Math.max(length, FIRST_BYTES, this.#bytes.length * GROWTH));
            this.#bytes.copy(grown, 0, 0, this.#length);
            this.#bytes = grown;
        }
        piece.copy(this.#bytes, this.#length);
        this.#length = length;
    }

    /** Returns all bytes, and is empty again. */
    take(): Buffer {
        const { bytes } = this;
        this.#bytes = NO_BYTES;
        this.#length = 0;
        return bytes;
    }
}
