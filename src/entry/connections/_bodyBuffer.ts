/**
 * The memory into which one body is read.
 *
 * @module
 */
import { freeBytes, type MemoryReservation } from "../../memory/index.js";

/** First size of the memory of a body. */
const FIRST_BYTES = 16 * 1024;

/** Factor by which the memory of a body grows. */
const GROWTH = 2;

const NO_BYTES = Buffer.alloc(0);

/** Pieces below this size are left to be collected; freeing one at once takes longer than parsing it. */
const FREED_PIECE_BYTES = 1_024;

/** Frees a piece that was copied. */
export function freeLargePiece(piece: Buffer): void {
    if (piece.length >= FREED_PIECE_BYTES) {
        freeBytes(piece);
    }
}

/** Options of {@linkcode BodyBuffer}. */
export interface BodyBufferOptions {
    /** Length of the body; `undefined` where it is not known. */
    readonly lengthBytes: number | undefined;
    /** Maximum size of the body. */
    readonly limitBytes: number;
    readonly reservation: MemoryReservation;
}

/**
 * Copies the pieces of a body into memory that is reserved in steps, as they arrive. The pieces are freed at once, and a
 * body of many small ones takes no more memory than one of a few.
 */
export class BodyBuffer {
    readonly #options: BodyBufferOptions;
    #bytes: Buffer = NO_BYTES;
    #length = 0;

    constructor(options: BodyBufferOptions) {
        this.#options = options;
    }

    /** Appends a piece, whose bytes are taken over; returns `false` where there is no room for it. */
    append(piece: Buffer): boolean {
        const length = this.#length + piece.length;
        if (piece.length === this.#options.lengthBytes) {
            return this.#takeWhole(piece);
        }
        if (length > this.#bytes.length && !this.#grow(length)) {
            return false;
        }
        piece.copy(this.#bytes, this.#length);
        freeLargePiece(piece);
        this.#length = length;
        return true;
    }

    /** Returns the body that was read. */
    read(): Buffer {
        return this.#bytes.subarray(0, this.#length);
    }

    /** Frees what was read; called where it was not handed on, or nobody holds it any more. */
    clear(): void {
        freeBytes(this.#bytes);
        this.#bytes = NO_BYTES;
        this.#length = 0;
    }

    #takeWhole(piece: Buffer): boolean {
        if (!this.#options.reservation.tryReserve(piece.length)) {
            return false;
        }
        this.#bytes = piece;
        this.#length = piece.length;
        return true;
    }

    /** The host copies one body at a time, so that the older bytes beside their copy need no room of their own. */
    #grow(neededBytes: number): boolean {
        const size = this.#nextSize(neededBytes);
        if (!this.#options.reservation.tryReserve(size - this.#bytes.length)) {
            return false;
        }
        const grown = Buffer.allocUnsafeSlow(size);
        this.#bytes.copy(grown, 0, 0, this.#length);
        freeBytes(this.#bytes);
        this.#bytes = grown;
        return true;
    }

    #nextSize(neededBytes: number): number {
        let size = Math.max(FIRST_BYTES, this.#bytes.length);
        while (size < neededBytes) {
            size *= GROWTH;
        }
        const { lengthBytes, limitBytes } = this.#options;
        return Math.max(neededBytes, Math.min(size, lengthBytes ?? limitBytes));
    }
}
