/**
 * Writes the answer to one caller.
 *
 * @module
 */
import { type ServerResponse } from "node:http";
import { type CompleteEvents } from "../../forwarding/index.js";
import { type MemoryReservation } from "../../memory/index.js";
import { type AnswerHead, framingOf, hasBody } from "../../transport/answers/index.js";
import { type AnswerPiece, type PagePool, totalLength } from "../pagePool.js";
import { AnswerDelivery } from "./answerDelivery.js";
import { type BufferingLimit } from "./bufferedAnswer.js";
import { passThroughHeaders } from "./forwardedHeaders.js";

const NO_CONTENT_LENGTH: ReadonlySet<string> = new Set(["content-length"]);

/** Last chunk of an answer in chunks. */
const LAST_CHUNK = "0\r\n\r\n";

const HEXADECIMAL = 16;
const LINE_END = "\r\n";

/** Returns bytes as one chunk of an answer in chunks. */
function frameChunk(bytes: Buffer): Buffer {
    const head = `${bytes.length.toString(HEXADECIMAL)}${LINE_END}`;
    const chunk = Buffer.allocUnsafe(head.length + bytes.length + LINE_END.length);
    chunk.write(head, "latin1");
    bytes.copy(chunk, head.length);
    chunk.write(LINE_END, head.length + bytes.length, "latin1");
    return chunk;
}

/** Options of a caller's answer. */
export interface CallerAnswerOptions {
    readonly response: ServerResponse;
    readonly requestId: string;
    readonly requestIdHeader: string;
    /** Holds what the caller's connection has not taken yet. */
    readonly reservation: MemoryReservation;
    readonly pages: PagePool;
    /** Method of the request. */
    readonly method: string;
    /** Decides, when the head is written, whether the answer is the last one of its connection. */
    readonly closesConnection: (hasLength: boolean) => boolean;
    readonly readClock: () => number;
}

/** Writes one answer, forwarded from an upstream or made by this host, and records the times of its parts. */
export class CallerAnswer {
    readonly #options: CallerAnswerOptions;
    #begun = false;
    /** True for a stream in chunks, which are framed here: the response would write four pieces for each. */
    #framesChunks = false;
    #aborted = false;
    /** Writes an answer that is not a stream. */
    readonly #delivery: AnswerDelivery;
    #passedOnFor: BufferingLimit | undefined;
    #pauseCount = 0;
    #pausedMilliseconds = 0;
    #pausedAtMilliseconds: number | undefined;
    #firstByteAtMilliseconds: number | undefined;
    #lastEventsAtMilliseconds = 0;
    #events = 0;
    #longestGapMilliseconds = 0;

    constructor(options: CallerAnswerOptions) {
        this.#options = options;
        this.#delivery = new AnswerDelivery(options);
        options.response.once("close", () => this.#delivery.close());
    }

    /** True once part of the answer was written. */
    get begun(): boolean {
        return this.#begun;
    }

    /** True once the connection has taken the whole answer, or was closed. */
    get isClosed(): boolean {
        return this.#options.response.closed;
    }

    /** True once the connection was closed within the answer. */
    get aborted(): boolean {
        return this.#aborted;
    }

    /** Why an answer that is not a stream was begun before it was whole; `undefined` where it was not. */
    get passedOnFor(): BufferingLimit | undefined {
        return this.#passedOnFor;
    }

    /** Times that the upstream was not read on until the caller had read. */
    get pauseCount(): number {
        return this.#pauseCount;
    }

    get pausedMilliseconds(): number {
        return Math.round(this.#readPausedMilliseconds());
    }

    /** Bytes that the caller's connection has not taken. */
    get unsentBytes(): number {
        return this.#delivery.waitingBytes + this.#options.response.writableLength;
    }

    get firstByteAtMilliseconds(): number | undefined {
        return this.#firstByteAtMilliseconds;
    }

    get events(): number {
        return this.#events;
    }

    get longestGapMilliseconds(): number {
        return Math.round(this.#longestGapMilliseconds);
    }

    /**
     * Forwards complete events; the head is written once, that of the first upstream. Returns false while the caller
     * reads too slowly.
     */
    forwardEvents(head: AnswerHead, events: CompleteEvents): boolean {
        this.#writeHead(head);
        this.#recordEvents(events.count);
        const { reservation, response } = this.#options;
        const keepsUp = response.write(this.#framesChunks ? frameChunk(events.bytes) : events.bytes);
        if (!keepsUp) {
            reservation.release();
            reservation.reserve(response.writableLength);
        }
        return keepsUp;
    }

    /** Ends a stream that is complete. */
    endStream(head: AnswerHead): void {
        this.#writeHead(head);
        this.#options.response.end(this.#framesChunks ? LAST_CHUNK : undefined);
    }

    /** Forwards an upstream's complete answer. */
    forwardWhole(head: AnswerHead, pieces: readonly AnswerPiece[]): void {
        const length = hasBody(head.status, this.#options.method) ? String(totalLength(pieces)) : undefined;
        this.#beginBody(head, length);
        this.#delivery.deliver(pieces);
    }

    /** Begins an answer that is not whole yet, with the length that the upstream has named, or in chunks. */
    beginPassingOn(head: AnswerHead, limit: BufferingLimit): void {
        this.#passedOnFor = limit;
        const hasLength = framingOf(head, this.#options.method) === "length";
        this.#beginBody(head, hasLength ? head.headers["content-length"] : undefined);
    }

    /** Passes on pieces of an answer that was begun; returns false while the caller reads too slowly. */
    passOn(pieces: readonly AnswerPiece[]): boolean {
        this.#delivery.add(pieces);
        return this.#delivery.keepsUp;
    }

    /** Ends an answer that was passed on and is complete. */
    endPassingOn(): void {
        this.#delivery.end();
    }

    /** Records that the upstream is not read on until the caller has read. */
    recordPause(): void {
        this.#pauseCount += 1;
        this.#pausedAtMilliseconds ??= this.#options.readClock();
    }

    /** Writes on once the connection has taken what was written; returns whether the caller keeps up. */
    handleDrain(): boolean {
        if (this.#events > 0) {
            this.#options.reservation.release();
        }
        this.#delivery.pump();
        const { keepsUp } = this.#delivery;
        if (keepsUp) {
            this.#pausedMilliseconds = this.#readPausedMilliseconds();
            this.#pausedAtMilliseconds = undefined;
        }
        return keepsUp;
    }

    /** Sends an answer made by this host, such as a refusal. */
    sendHostAnswer(status: number, headers: Readonly<Record<string, string>>, body: string): void {
        const { requestId, requestIdHeader, response } = this.#options;
        if (response.headersSent || response.destroyed) {
            return;
        }
        this.#begun = true;
        response.writeHead(status, {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(body),
            ...headers,
            [requestIdHeader]: requestId,
            ...this.#options.closesConnection(true) ? { connection: "close" } : {},
        });
        response.end(body);
    }

    /**
     * Closes the connection, so that the caller sees an answer that has begun as incomplete. An answer that only the end
     * of its connection ends, as for HTTP/1.0, would look complete after an orderly end; its connection is reset.
     */
    abort(): void {
        this.#aborted = true;
        const { response } = this.#options;
        if (response.headersSent && !this.#framesChunks) {
            response.socket?.resetAndDestroy();
        }
        response.destroy();
    }

    #readPausedMilliseconds(): number {
        const now = this.#options.readClock();
        return this.#pausedMilliseconds + now - (this.#pausedAtMilliseconds ?? now);
    }

    #beginBody(head: AnswerHead, length: string | undefined): void {
        const headers = passThroughHeaders(head.rawHeaders, NO_CONTENT_LENGTH);
        const lengthHeaders = length === undefined ? [] : ["Content-Length", length];
        const hasLength = length !== undefined || !hasBody(head.status, this.#options.method);
        this.#options.response.writeHead(head.status, [
            ...headers,
            ...lengthHeaders,
            ...this.#closingHeaders(hasLength),
        ]);
        this.#firstByteAtMilliseconds = this.#options.readClock();
        this.#begun = true;
    }

    #writeHead(head: AnswerHead): void {
        if (this.#begun) {
            return;
        }
        const { response } = this.#options;
        const headers = passThroughHeaders(head.rawHeaders, NO_CONTENT_LENGTH);
        response.writeHead(head.status, [...headers, ...this.#closingHeaders(false)]);
        this.#framesChunks = response.chunkedEncoding;
        response.chunkedEncoding = false;
        this.#begun = true;
    }

    #closingHeaders(hasLength: boolean): string[] {
        return this.#options.closesConnection(hasLength) ? ["Connection", "close"] : [];
    }

    #recordEvents(count: number): void {
        const now = this.#options.readClock();
        if (this.#firstByteAtMilliseconds === undefined) {
            this.#firstByteAtMilliseconds = now;
        }
        else {
            this.#longestGapMilliseconds = Math.max(this.#longestGapMilliseconds, now - this.#lastEventsAtMilliseconds);
        }
        this.#lastEventsAtMilliseconds = now;
        this.#events += count;
    }
}
