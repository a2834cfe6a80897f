/**
 * Splits the bytes of an event stream into whole events.
 *
 * @module
 */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const IDENTIFIER_FIELD = "id:";

/** Whole events out of one piece of a stream. */
export interface WholeEvents {
    /** The events' bytes as they came; empty where no event is complete yet. */
    readonly bytes: Buffer;
    readonly count: number;
    /** Identifier of the last of them that has one. */
    readonly lastIdentifier: string | undefined;
}

const NO_EVENTS: WholeEvents = { bytes: Buffer.alloc(0), count: 0, lastIdentifier: undefined };

/** Gives the positions behind each blank line, which ends an event. */
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

function findLastIdentifier(text: string): string | undefined {
    const lines = text.split(/\r?\n/);
    const line = lines.findLast(line => line.startsWith(IDENTIFIER_FIELD));
    return line?.slice(IDENTIFIER_FIELD.length).trim();
}

/**
 * Holds the bytes of an unfinished event back, so that a caller never gets a part of one.
 *
 * @example
 * ```ts
 * const splitter = new EventSplitter();
 * const { bytes, lastIdentifier } = splitter.push(Buffer.from("id: 1\ndata: a\n\nid: 2\n"));
 * ```
 */
export class EventSplitter {
    #rest: Buffer = Buffer.alloc(0);

    /** Takes the next piece of the stream; gives the events that it completes. */
    push(piece: Buffer): WholeEvents {
        const bytes = this.#rest.length === 0 ? piece : Buffer.concat([this.#rest, piece]);
        const ends = findEventEnds(bytes);
        const end = ends.at(-1);
        if (end === undefined) {
            this.#rest = bytes;
            return NO_EVENTS;
        }
        this.#rest = bytes.subarray(end);
        const whole = bytes.subarray(0, end);
        return { bytes: whole, count: ends.length, lastIdentifier: findLastIdentifier(whole.toString("latin1")) };
    }

    /** Bytes of an event that is not complete. */
    get unfinishedBytes(): number {
        return this.#rest.length;
    }
}
