/**
 * Writes the body of an answer at the pace of its caller.
 *
 * @module
 */
import { type ServerResponse } from "node:http";
import { type Socket } from "node:net";
import { type MemoryReservation } from "../../memory/index.js";
import { type AnswerPiece, heldBytes, type PagePool, totalLength } from "../pagePool.js";

/** What is handed to a caller's connection before it has taken it; a smaller body is written at once. */
const WINDOW_BYTES = 64 * 1024;

/** Options of {@linkcode AnswerDelivery}. */
export interface AnswerDeliveryOptions {
    readonly response: ServerResponse;
    /** Holds the body's bytes until the caller's connection has taken them. */
    readonly reservation: MemoryReservation;
    readonly pages: PagePool;
}

/**
 * Hands the next pieces of a body to the connection once that has taken those before, so that memory is free as soon as
 * the caller has read.
 *
 * @example
 * ```ts
 * const delivery = new AnswerDelivery({ response, reservation, pages });
 * response.on("drain", () => delivery.pump());
 * delivery.add(pages.store(received));
 * delivery.end();
 * ```
 */
export class AnswerDelivery {
    readonly #response: ServerResponse;
    readonly #reservation: MemoryReservation;
    readonly #pages: PagePool;
    #waiting: AnswerPiece[] = [];
    /** The connection of a body that is whole and has not been written whole. */
    #socket: Socket | undefined;
    #isEnded = false;

    constructor({ pages, reservation, response }: AnswerDeliveryOptions) {
        this.#response = response;
        this.#reservation = reservation;
        this.#pages = pages;
    }

    /** Bytes that were not handed to the connection yet. */
    get waitingBytes(): number {
        return totalLength(this.#waiting);
    }

    /** False while the caller reads too slowly. */
    get keepsUp(): boolean {
        return this.#waiting.length === 0 && !this.#response.writableNeedDrain;
    }

    /** Appends pieces, which are in memory already, and writes what the connection takes. */
    add(pieces: readonly AnswerPiece[]): void {
        this.#reserve(pieces);
        for (const piece of pieces) {
            this.#waiting.push(piece);
        }
        this.pump();
    }

    /** Ends the body after the pieces that were added. */
    end(): void {
        this.#isEnded = true;
        this.pump();
    }

    /** Writes a whole body, with its end; at once where the caller closes its sending half. */
    deliver(pieces: readonly AnswerPiece[]): void {
        if (totalLength(pieces) > WINDOW_BYTES) {
            // Runs before Node's own listener, which ends the connection after what was written by then.
            this.#socket = this.#response.socket ?? undefined;
            this.#socket?.prependOnceListener("end", this.#writeAll);
            this.add(pieces);
            this.end();
            return;
        }
        this.#reserve(pieces);
        this.#response.end(Buffer.concat(pieces.map(({ bytes }) => bytes)));
        pieces.forEach(piece => this.#pages.free(piece));
    }

    /** Writes what the connection takes; called when it has taken what was written. */
    pump(): void {
        this.#writeUpTo(WINDOW_BYTES);
    }

    /** Forgets what waits, and releases all that is reserved; called when the answer or its connection has closed. */
    close(): void {
        this.#socket?.removeListener("end", this.#writeAll);
        this.#waiting.forEach(piece => this.#pages.free(piece));
        this.#waiting = [];
        this.#reservation.release();
    }

    readonly #writeAll = (): void => this.#writeUpTo(Infinity);

    /** Writes pieces while fewer bytes than these wait in the connection. */
    #writeUpTo(windowBytes: number): void {
        while (!this.#response.destroyed && this.#response.writableLength < windowBytes) {
            const piece = this.#waiting.shift();
            if (piece === undefined) {
                this.#endResponse();
                return;
            }
            this.#response.write(piece.bytes, error => this.#handleWritten(piece, error));
        }
    }

    #reserve(pieces: readonly AnswerPiece[]): void {
        this.#reservation.reserve(pieces.reduce((total, piece) => total + heldBytes(piece), 0));
    }

    /** The page of a failed write is not used again, since the connection may still refer to it. */
    #handleWritten(piece: AnswerPiece, error: Error | null | undefined): void {
        this.#reservation.release(heldBytes(piece));
        if (error === undefined || error === null) {
            this.#pages.free(piece);
        }
    }

    #endResponse(): void {
        if (this.#isEnded && !this.#response.writableEnded) {
            this.#response.end();
        }
    }
}
