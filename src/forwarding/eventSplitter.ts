/**
 * Splits the bytes of an event stream into complete events.
 *
 * @module
 */

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

/** Returns the position after each blank line, which ends an event. */
function findEventEnds(bytes: Buffer): number[] {
    const ends: number[] = [];
    for (let at = bytes.indexOf(LINE_FEED); at !== -1; at = bytes.indexOf(LINE_FEED, at + 1)) {
        const next = bytes[at + 1] === CARRIAGE_RETURN ? at + 2 : at + 1;
        if (bytes[next] === LINE_FEED) {
            ends.push(next + 1);
            at = next;
        }
    }
    return ends;
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
    #pieces: Buffer[] = [];
    #unfinishedBytes = 0;

    /** Appends the next piece of the stream; returns the events that it completes. */
    push(piece: Buffer): CompleteEvents {
        this.#pieces.push(piece);
        this.#unfinishedBytes += piece.length;
        if (!piece.includes(LINE_FEED)) {
            return NO_EVENTS;
        }
        const bytes = this.#pieces.length === 1 ? piece : Buffer.concat(this.#pieces);
        const ends = findEventEnds(bytes);
        const end = ends.at(-1) ?? 0;
        this.#pieces = end === bytes.length ? [] : [bytes.subarray(end)];
        this.#unfinishedBytes = bytes.length - end;
        if (end === 0) {
            return NO_EVENTS;
        }
        const whole = bytes.subarray(0, end);
        return { bytes: whole, count: ends.length, lastIdentifier: findLastIdentifier(whole) };
    }

    /** Number of buffered bytes of an incomplete event. */
    get unfinishedBytes(): number {
        return this.#unfinishedBytes;
    }

    /** True where an incomplete event exceeds the maximum size, and so cannot be a valid event. */
    get isTooLong(): boolean {
        return this.#unfinishedBytes > MAXIMUM_EVENT_BYTES;
    }
}
