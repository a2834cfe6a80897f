/**
 * Holds an answer that is not a stream until it is whole, so that a truncated one does not reach its caller in part.
 *
 * @module
 */
import { type MemoryBudget, type MemoryReservation } from "../../memory/index.js";
import { type AnswerPiece, neededBytes, type PagePool } from "../pagePool.js";

/** Maximum size of an answer that is buffered whole. */
const MAXIMUM_ANSWER_BYTES = 8 * 1024 * 1024;

/** Share of the host's budget up to which answers are buffered whole; the rest is for requests and for answers passed on. */
const BUFFERED_SHARE_OF_BUDGET = 0.4;

/** Why an answer is not buffered whole. */
export type BufferingLimit =
    /** All answers together hold as much as they may. */
    | "no-room"
    /** The answer itself is too large. */
    | "too-large";

/** Options of {@linkcode BufferedAnswer}. */
export interface BufferedAnswerOptions {
    readonly memory: MemoryBudget;
    readonly pages: PagePool;
    /** Holds the pieces; one of the same memory by default. */
    readonly reservation?: MemoryReservation;
}

/**
 * Buffers the pieces of an answer while the host's budget has room for them.
 *
 * @example
 * ```ts
 * const buffered = new BufferedAnswer({ memory, pages });
 * buffered.tryAdd(received); // undefined: it was added
 * const pieces = buffered.take();
 * ```
 */
export class BufferedAnswer {
    readonly #options: BufferedAnswerOptions;
    readonly #reservation: MemoryReservation;
    #pieces: AnswerPiece[] = [];

    constructor(options: BufferedAnswerOptions) {
        this.#options = options;
        this.#reservation = options.reservation ?? options.memory.begin("answers");
    }

    /** Adds what was received; returns the limit that forbids it, and adds nothing then. */
    tryAdd(received: Buffer): BufferingLimit | undefined {
        const { memory, pages } = this.#options;
        const bytes = neededBytes(received, this.#pieces.at(-1));
        if (this.#reservation.bytes + bytes > MAXIMUM_ANSWER_BYTES) {
            return "too-large";
        }
        const isWithinShare = memory.reservedBytes("answers") + bytes <= memory.budgetBytes * BUFFERED_SHARE_OF_BUDGET;
        if (!isWithinShare || !this.#reservation.tryReserve(bytes)) {
            return "no-room";
        }
        pages.append(this.#pieces, received);
        return undefined;
    }

    /** Returns the pieces and forgets them; who takes them reserves their memory. */
    take(): readonly AnswerPiece[] {
        const pieces = this.#pieces;
        this.#pieces = [];
        this.#reservation.release();
        return pieces;
    }

    /** Forgets the pieces, and releases their memory. */
    release(): void {
        this.take().forEach(piece => this.#options.pages.free(piece));
    }
}
