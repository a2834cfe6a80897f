/**
 * What was read from one connection and not yet parsed.
 *
 * @module
 */
import { type IncomingMessage } from "node:http";
import { type Socket } from "node:net";
import { freeBytes, GrowingBuffer, type MemoryReservation } from "../../memory/index.js";
import { readHandleOf } from "../../transport/index.js";
import { unfinishedFieldsMemory } from "./_requestHead.js";
import { countLines, endsFields, measurePart, positionBehindHead, type ReadPosition } from "./_requestParts.js";

/** Reads at least this large are freed without waiting for their collection. */
const FREED_BYTES = 16 * 1024;

/** Parts of one read that are parsed at once, where they belong to one body; of requests, two are. */
const FIRST_PARTS = 8;

/** Memory that the header fields of a connection may take without their end, whatever those of others do. */
const SMALL_FIELDS_BYTES = 4 * 1024;

const NO_BYTES = Buffer.alloc(0);

/** Options of {@linkcode ConnectionFeed}. */
export interface ConnectionFeedOptions {
    /** Node's own listener, which hands bytes to the parser. */
    readonly parse: (bytes: Buffer) => void;
    /** Holds the memory of what is not yet parsed. */
    readonly reservation: MemoryReservation;
    /**
     * Counts the memory of header fields without their end, in place of what they took before; returns whether it may be
     * taken.
     */
    readonly holdFields: (bytes: number) => boolean;
    /** Length from which header fields are parsed before they are whole, so that the parser refuses too long ones. */
    readonly maximumFieldsBytes: number;
    /** Requests that may be unanswered when the next is parsed. */
    readonly maximumUnanswered: number;
    /** There is more to parse, and it may be parsed now. */
    readonly onReady: () => void;
    /** There is no memory for what is not yet parsed; it was dropped. */
    readonly onNoRoom: () => void;
}

/** Hands the bytes of a connection to its parser in parts, and reads no more while some are left. */
export class ConnectionFeed {
    readonly #socket: Socket;
    readonly #options: ConnectionFeedOptions;
    #read: Buffer = NO_BYTES;
    #offset = 0;
    /** Bytes that are parsed with what follows them: header fields without their end, or a few others. */
    readonly #beginning = new GrowingBuffer();
    /** Lines of header fields or trailers without their end that the parser has, and their length. */
    #openLines = 0;
    #openBytes = 0;
    #position: ReadPosition = { type: "none" };
    #unanswered = 0;
    #isReading = true;
    #isEnded = false;

    constructor(socket: Socket, options: ConnectionFeedOptions) {
        this.#socket = socket;
        this.#options = options;
        socket.on("data", (bytes: Buffer) => this.#receive(bytes));
        socket.on("pause", () => this.#updateReading());
        socket.on("resume", () => this.#continue());
        socket.once("close", () => this.end());
    }

    /** True while something that was read is not parsed. */
    get hasUnparsed(): boolean {
        return this.#offset < this.#read.length;
    }

    /** True where a part may be parsed now. */
    get isReady(): boolean {
        return this.hasUnparsed && !this.#isEnded && this.#mayParse;
    }

    /** Records a request whose head was parsed. */
    beginRequest(message: IncomingMessage): void {
        this.#position = positionBehindHead(message);
        this.#unanswered += 1;
    }

    /** Records that a request was answered. */
    endRequest(): void {
        this.#unanswered -= 1;
        this.#continue();
    }

    /** Parses the next part; keeps the beginning of one of which more must be read. */
    parsePart(): void {
        const rest = this.#read.subarray(this.#offset);
        const { bytes, next, replacement } = measurePart(rest, this.#position, this.#options.maximumFieldsBytes);
        this.#position = next;
        if (bytes === 0) {
            this.#beginning.append(rest);
            this.#dropRead();
            return;
        }
        this.#offset += bytes;
        const part = replacement ?? (bytes === this.#read.length ? this.#read : rest.subarray(0, bytes));
        this.#options.parse(part);
        this.#recordParsed(part);
        if (!this.hasUnparsed) {
            this.#dropRead();
        }
    }

    /** Reads on once nothing is left, and reserves memory for what is left. */
    settle(): void {
        const { onNoRoom, onReady, reservation } = this.#options;
        if (!this.#tryReserve(reservation)) {
            this.end();
            onNoRoom();
            return;
        }
        this.#updateReading();
        if (this.isReady) {
            onReady();
        }
    }

    /** Parses nothing further; what still arrives is discarded. */
    end(): void {
        this.#isEnded = true;
        this.#dropRead();
        this.#beginning.take();
        this.#openLines = 0;
        this.#openBytes = 0;
        this.#options.holdFields(0);
        this.#options.reservation.release();
        this.#updateReading();
    }

    get #mayParse(): boolean {
        return !this.#socket.destroyed && !this.#socket.isPaused()
            && this.#unanswered < this.#options.maximumUnanswered;
    }

    #receive(bytes: Buffer): void {
        if (this.#isEnded) {
            return;
        }
        this.#add(bytes);
        for (let parts = 0; parts < FIRST_PARTS && this.isReady; parts += 1) {
            this.parsePart();
            if (this.#openLines > 0 || (parts > 0 && this.#position.type === "none")) {
                break;
            }
        }
        this.settle();
    }

    /** Adds what was read to what is to be parsed, or to header fields that are still without their end. */
    #add(bytes: Buffer): void {
        if (this.hasUnparsed) {
            this.#read = Buffer.concat([this.#read.subarray(this.#offset), bytes]);
        }
        else if (this.#beginning.length === 0) {
            this.#read = bytes;
        }
        else {
            const searchedBytes = this.#beginning.length;
            this.#beginning.append(bytes);
            this.#read = this.#isBeginningWhole(searchedBytes) ? this.#beginning.take() : NO_BYTES;
        }
        this.#offset = 0;
    }

    #isBeginningWhole(searchedBytes: number): boolean {
        return this.#position.type !== "fields" || this.#beginning.length >= this.#options.maximumFieldsBytes
            || endsFields(this.#beginning.bytes, searchedBytes);
    }

    /** Counts what the parser keeps of header fields or trailers until they are whole. */
    #recordParsed(part: Buffer): void {
        const isOpen = this.#position.type === "long-fields"
            || (this.#position.type === "unknown" && !this.#position.message.complete);
        this.#openLines = isOpen ? this.#openLines + countLines(part) : 0;
        this.#openBytes = isOpen ? Math.min(this.#openBytes + part.length, this.#options.maximumFieldsBytes) : 0;
    }

    get #unfinishedFieldsBytes(): number {
        return this.#beginning.heldBytes + unfinishedFieldsMemory(this.#openLines, this.#openBytes);
    }

    /** Reserves memory for what is left, or releases some; returns false where there is no room. */
    #tryReserve(reservation: MemoryReservation): boolean {
        const fieldsBytes = this.#unfinishedFieldsBytes;
        const mayHold = this.#options.holdFields(fieldsBytes) || fieldsBytes <= SMALL_FIELDS_BYTES;
        const addedBytes = (this.hasUnparsed ? this.#read.length : 0) + fieldsBytes - reservation.bytes;
        if (this.#isEnded || addedBytes <= 0) {
            reservation.release(this.#isEnded ? reservation.bytes : -addedBytes);
            return true;
        }
        return mayHold && reservation.tryReserve(addedBytes);
    }

    #continue(): void {
        if (this.isReady) {
            this.#options.onReady();
        }
        else {
            this.#updateReading();
        }
    }

    #dropRead(): void {
        const read = this.#read;
        this.#read = NO_BYTES;
        this.#offset = 0;
        if (read.length >= FREED_BYTES && !this.#isEnded) {
            freeBytes(read);
        }
    }

    /** A paused stream would still read once more; its handle is stopped instead. */
    #updateReading(): void {
        const isReading = this.#isEnded || (!this.hasUnparsed && this.#mayParse);
        const handle = readHandleOf(this.#socket);
        if (isReading === this.#isReading || handle === undefined) {
            return;
        }
        this.#isReading = isReading;
        if (isReading) {
            handle.readStart();
        }
        else {
            handle.readStop();
        }
    }
}
