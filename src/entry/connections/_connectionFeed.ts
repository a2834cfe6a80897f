/**
 * What was read from one connection and not yet parsed.
 *
 * @module
 */
import { type IncomingMessage } from "node:http";
import { type Socket } from "node:net";
import { freeBytes, type MemoryReservation } from "../../memory/index.js";
import { readHandleOf } from "../../transport/index.js";
import { type BodyForm, bodyFormOf, measurePart } from "./_requestParts.js";

/** Reads at least this large are freed without waiting for their collection. */
const FREED_BYTES = 16 * 1024;

/** Parts of one read that are parsed at once, where they belong to one body; of requests, two are. */
const FIRST_PARTS = 8;

const NO_BYTES = Buffer.alloc(0);

/** Options of {@linkcode ConnectionFeed}. */
export interface ConnectionFeedOptions {
    /** Node's own listener, which hands bytes to the parser. */
    readonly parse: (bytes: Buffer) => void;
    /** Holds the memory of what is not yet parsed. */
    readonly reservation: MemoryReservation;
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
    /** A few bytes that mean something only with what follows them. */
    #beginning: Buffer = NO_BYTES;
    #body: BodyForm = { type: "none" };
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
        this.#body = bodyFormOf(message);
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
        const { body, bytes, replacement } = measurePart(rest, this.#body);
        this.#body = body;
        if (bytes === 0) {
            this.#beginning = Buffer.from(rest);
            this.#dropRead();
            return;
        }
        this.#offset += bytes;
        this.#options.parse(replacement ?? (bytes === this.#read.length ? this.#read : rest.subarray(0, bytes)));
        if (!this.hasUnparsed) {
            this.#dropRead();
        }
    }

    /** Reads on once nothing is left, and reserves memory for what is left. */
    settle(): void {
        const { onNoRoom, onReady, reservation } = this.#options;
        if (!this.hasUnparsed && reservation.bytes === 0) {
            this.#updateReading();
            return;
        }
        const leftBytes = this.hasUnparsed && !this.#isEnded ? this.#read.length : 0;
        if (leftBytes < reservation.bytes) {
            reservation.release(reservation.bytes - leftBytes);
        }
        else if (!reservation.tryReserve(leftBytes - reservation.bytes)) {
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
        const before = this.hasUnparsed ? this.#read.subarray(this.#offset) : this.#beginning;
        this.#read = before.length > 0 ? Buffer.concat([before, bytes]) : bytes;
        this.#beginning = NO_BYTES;
        this.#offset = 0;
        for (let parts = 0; parts < FIRST_PARTS && this.isReady; parts += 1) {
            this.parsePart();
            if (parts > 0 && this.#body.type === "none") {
                break;
            }
        }
        this.settle();
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
