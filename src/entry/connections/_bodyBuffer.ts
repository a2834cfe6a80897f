/**
 * The memory into which one body is read.
 *
 * @module
 */
import { freeBytes, type MemoryReservation } from "../../memory/index.js";

/** First size of the memory of a body whose length is not known. */
const FIRST_BYTES = 16 * 1024;

/** Factor by which the memory of such a body grows. */
const GROWTH = 2;

const NO_BYTES = Buffer.alloc(0);

/** Options of {@linkcode BodyBuffer}. */
export interface BodyBufferOptions {
    /** Length of the body; `undefined` where it is not known. */
    readonly lengthBytes: number | undefined;
    /** Maximum size of the body. */
    readonly limitBytes: number;
    readonly reservation: MemoryReservation;
}

/**
 * Copies the pieces of a body into memory that was reserved before: whole where the length is known, else in steps. The
 * pieces are freed at once, and a body of many small ones takes no more memory than one of a few.
 */
export class BodyBuffer {
    readonly #options: BodyBufferOptions;
    #bytes: Buffer = NO_BYTES;
    #length = 0;

    constructor(options: BodyBufferOptions) {
        this.#options = options;
    }

    /** Reserves the memory of a body of known length; returns `false` where there is no room. */
    reserveKnown(): boolean {
        const { lengthBytes = 0, reservation } = this.#options;
        return reservation.tryReserve(lengthBytes);
    }

    /** Appends a piece, whose bytes are taken over; returns `false` where there is no room for it. */
    append(piece: Buffer): boolean {
        const length = this.#length + piece.length;
        if (piece.length === this.#options.lengthBytes) {
            this.#bytes = piece;
            this.#length = length;
            return true;
        }
        if (length > this.#bytes.length && !this.#grow(length)) {
            return false;
        }
        piece.copy(this.#bytes, this.#length);
        freeBytes(piece);
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

    #grow(neededBytes: number): boolean {
        const { lengthBytes, reservation } = this.#options;
        const olderBytes = this.#bytes.length;
        const size = lengthBytes ?? this.#nextSize(neededBytes);
        if (lengthBytes === undefined && !reservation.tryReserve(size)) {
            return false;
        }
        const grown = Buffer.allocUnsafeSlow(size);
        this.#bytes.copy(grown, 0, 0, this.#length);
        freeBytes(this.#bytes);
        this.#bytes = grown;
        reservation.release(lengthBytes === undefined ? olderBytes : 0);
        return true;
    }

    #nextSize(neededBytes: number): number {
        let size = Math.max(FIRST_BYTES, this.#bytes.length);
        while (size < neededBytes) {
            size *= GROWTH;
        }
        return Math.max(neededBytes, Math.min(size, this.#options.limitBytes));
    }
}
