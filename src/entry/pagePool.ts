/**
 * Memory for the bodies of answers that is used again, so that little of what was read stays resident until it is
 * collected.
 *
 * @module
 */

import { concatenate, freeBytes } from "../memory/index.js";

const PAGE_BYTES = 16 * 1024;

/** Smaller pieces are held as they were read, or joined with a small one before them. */
const MINIMUM_COPIED_BYTES = PAGE_BYTES / 2;

/** Memory of a small piece beside its bytes: objects that refer to them. */
const PIECE_OVERHEAD_BYTES = 256;

/** Pages that are kept while none needs them. */
const MAXIMUM_FREE_PAGES = 128;

/** A piece of a body. */
export interface AnswerPiece {
    readonly bytes: Buffer;
    /** The page that holds the bytes; `undefined` for a piece that is held as it was read. */
    readonly page: Buffer | undefined;
}

/** Returns the size of pieces together. */
export function totalLength(pieces: readonly AnswerPiece[]): number {
    return pieces.reduce((total, { bytes }) => total + bytes.length, 0);
}

/** Returns the memory that a piece takes. */
export function heldBytes({ bytes, page }: AnswerPiece): number {
    return page?.length ?? bytes.length + PIECE_OVERHEAD_BYTES;
}

/** Returns whether received bytes are copied, so that they are not needed any more. */
export function isCopied({ length }: Buffer): boolean {
    return length >= MINIMUM_COPIED_BYTES;
}

/** Returns whether received bytes are joined with the last piece, so that any two small pieces together are large. */
function isJoined(last: AnswerPiece | undefined, received: Buffer): last is AnswerPiece {
    return last !== undefined && last.page === undefined
        && last.bytes.length + received.length < MINIMUM_COPIED_BYTES;
}

/** Returns the memory that received bytes will take behind the last piece of the same answer. */
export function neededBytes(received: Buffer, last?: AnswerPiece): number {
    const { length } = received;
    if (isJoined(last, received)) {
        return length;
    }
    return isCopied(received) ? Math.ceil(length / PAGE_BYTES) * PAGE_BYTES : length + PIECE_OVERHEAD_BYTES;
}

/**
 * Copies what was received into pages, and takes pages back.
 *
 * @example
 * ```ts
 * const pool = new PagePool();
 * const pieces = pool.store(received);
 * pieces.forEach(piece => pool.free(piece));
 * ```
 */
export class PagePool {
    readonly #free: Buffer[] = [];

    /** Number of pages that are kept while none needs them. */
    get freeCount(): number {
        return this.#free.length;
    }

    /** Stores received bytes behind pieces of the same answer; the memory of many small ones follows from their bytes. */
    append(pieces: AnswerPiece[], received: Buffer): void {
        const last = pieces.at(-1);
        if (isJoined(last, received)) {
            const length = last.bytes.length + received.length;
            pieces[pieces.length - 1] = { bytes: concatenate([last.bytes, received], length), page: undefined };
        }
        else {
            pieces.push(...this.store(received));
        }
    }

    /** Copies received bytes into pages; smaller ones are held as they are. */
    store(received: Buffer): AnswerPiece[] {
        if (!isCopied(received)) {
            return [{ bytes: received, page: undefined }];
        }
        const pieces: AnswerPiece[] = [];
        for (let at = 0; at < received.length; at += PAGE_BYTES) {
            const page = this.#free.pop() ?? Buffer.allocUnsafeSlow(PAGE_BYTES);
            pieces.push({ bytes: page.subarray(0, received.copy(page, 0, at)), page });
        }
        return pieces;
    }

    /** Takes back the page of a piece that nothing reads any more; called once for a piece. */
    free({ page }: AnswerPiece): void {
        if (page === undefined) {
            return;
        }
        if (this.#free.length < MAXIMUM_FREE_PAGES) {
            this.#free.push(page);
        }
        else {
            freeBytes(page);
        }
    }
}
