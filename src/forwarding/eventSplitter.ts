/**
 * Splits the bytes of an event stream into complete events.
 *
 * @module
 */
import { GrowingBuffer } from "../memory/index.js";

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const IDENTIFIER_FIELD = Buffer.from("id:");

/** Maximum size of an event; a longer one is treated as never ending. */
const MAXIMUM_EVENT_BYTES = 256 * 1024;

/** Events that one piece of a stream completed. */
export interface CompleteEvents {
    /** The events' unchanged bytes; empty where no event is complete yet. */
    readonly bytes: Buffer;
    readonly count: number;
    /** Identifier of the last of these events that has one. */
    readonly lastIdentifier: string | undefined;
}

const NO_EVENTS: CompleteEvents = { bytes: Buffer.alloc(0), count: 0, lastIdentifier: undefined };

/** What the bytes until now end with, as far as a blank line may follow from it. */
type LineEnd = "none" | "line-feed" | "line-feed-and-carriage-return";

/** Blank lines, which end events, in one piece of a stream. */
interface BlankLines {
    readonly count: number;
    /** Position after the last one; 0 where there is none. */
    readonly end: number;
}

/** Finds blank lines in the pieces of a stream, each of which it looks at once. */
class BlankLineFinder {
    #lineEnd: LineEnd = "none";

    find(piece: Buffer): BlankLines {
        let count = 0;
        let end = 0;
        let at = 0;
        while (at < piece.length) {
            if (this.#lineEnd === "none") {
                at = piece.indexOf(LINE_FEED, at);
                if (at === -1) {
                    break;
                }
                this.#lineEnd = "line-feed";
                at += 1;
                continue;
            }
            if (piece[at] === LINE_FEED) {
                this.#lineEnd = "none";
                at += 1;
                count += 1;
                end = at;
            }
            else if (piece[at] === CARRIAGE_RETURN && this.#lineEnd === "line-feed") {
                this.#lineEnd = "line-feed-and-carriage-return";
                at += 1;
            }
            else {
                this.#lineEnd = "none";
            }
        }
        return { count, end };
    }
}

/** Returns the value of the last line that begins with the field of identifiers. */
function findLastIdentifier(bytes: Buffer): string | undefined {
    let at = bytes.lastIndexOf(IDENTIFIER_FIELD);
    while (at > 0 && bytes[at - 1] !== LINE_FEED) {
        at = bytes.lastIndexOf(IDENTIFIER_FIELD, at - 1);
    }
    if (at === -1) {
        return undefined;
    }
    const end = bytes.indexOf(LINE_FEED, at);
    return bytes.toString("latin1", at + IDENTIFIER_FIELD.length, end === -1 ? bytes.length : end).trim();
}

/**
 * Buffers the bytes of an incomplete event, so that a caller never gets a part of one.
 *
 * @example
 * ```ts
 * const splitter = new EventSplitter();
 * const { bytes, lastIdentifier } = splitter.push(Buffer.from("id: 1\ndata: a\n\nid: 2\n"));
 * ```
 */
export class EventSplitter {
    readonly #blankLines = new BlankLineFinder();
    readonly #unfinished = new GrowingBuffer();

    /** Appends the next piece of the stream; returns the events that it completes. */
    push(piece: Buffer): CompleteEvents {
        const { count, end } = this.#blankLines.find(piece);
        if (count === 0) {
            this.#unfinished.append(piece);
            return NO_EVENTS;
        }
        const whole = this.#takeWhole(piece.subarray(0, end));
        if (end < piece.length) {
            this.#unfinished.append(piece.subarray(end));
        }
        return { bytes: whole, count, lastIdentifier: findLastIdentifier(whole) };
    }

    /** Number of buffered bytes of an incomplete event. */
    get unfinishedBytes(): number {
        return this.#unfinished.length;
    }

    /** Memory that an incomplete event takes. */
    get heldBytes(): number {
        return this.#unfinished.heldBytes;
    }

    /** True where an incomplete event exceeds the maximum size, and so cannot be a valid event. */
    get isTooLong(): boolean {
        return this.#unfinished.length > MAXIMUM_EVENT_BYTES;
    }

    /** Returns the unfinished event with its end; what comes in one piece is not copied. */
    #takeWhole(end: Buffer): Buffer {
        if (this.#unfinished.length === 0) {
            return end;
        }
        this.#unfinished.append(end);
        return this.#unfinished.take();
    }
}
