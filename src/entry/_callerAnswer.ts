/**
 * The answer to one caller.
 *
 * @module
 */
import { type ServerResponse } from "node:http";
import { type WholeEvents } from "../forwarding/index.js";
import { passThroughHeaders } from "./_forwardedHeaders.js";
import { type AnswerHead } from "./upstreamCall.js";

const NO_CONTENT_LENGTH: ReadonlySet<string> = new Set(["content-length"]);

/** What the answer needs of its host. */
export interface CallerAnswerOptions {
    readonly response: ServerResponse;
    readonly requestId: string;
    readonly requestIdHeader: string;
    readonly isHead: boolean;
    readonly isLeaving: () => boolean;
    readonly readClock: () => number;
}

/** Writes one answer, an upstream's or the host's own, and notes when its parts went out. */
export class CallerAnswer {
    readonly #options: CallerAnswerOptions;
    #begun = false;
    #firstByteAt: number | undefined;
    #lastEventsAt = 0;
    #events = 0;
    #longestGapMilliseconds = 0;

    constructor(options: CallerAnswerOptions) {
        this.#options = options;
    }

    /** True once the caller has a part of the answer. */
    get begun(): boolean {
        return this.#begun;
    }

    get firstByteAtMilliseconds(): number | undefined {
        return this.#firstByteAt;
    }

    get events(): number {
        return this.#events;
    }

    get longestGapMilliseconds(): number {
        return Math.round(this.#longestGapMilliseconds);
    }

    /** Passes whole events on, behind the head of the first upstream; false while the caller reads too slowly. */
    passEvents(head: AnswerHead, events: WholeEvents): boolean {
        this.#writeHead(head);
        this.#noteEvents(events.count);
        return this.#options.response.write(events.bytes);
    }

    /** Ends a stream as complete. */
    endStream(head: AnswerHead): void {
        this.#writeHead(head);
        this.#options.response.end();
    }

    /** Passes an upstream's whole answer on. */
    passWhole(head: AnswerHead, body: Buffer): void {
        this.#firstByteAt = this.#options.readClock();
        this.#begun = true;
        const headers = passThroughHeaders(head.rawHeaders, NO_CONTENT_LENGTH);
        const length = this.#options.isHead ? [] : ["Content-Length", String(body.length)];
        this.#options.response.writeHead(head.status, [...headers, ...length, ...this.#closingHeaders()]);
        this.#options.response.end(body);
    }

    /** Gives an answer of the host's own. */
    giveOwn(status: number, headers: Readonly<Record<string, string>>, body: string): void {
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
            ...this.#options.isLeaving() ? { connection: "close" } : {},
        });
        response.end(body);
    }

    /** Ends an answer that has begun so that it does not look complete. */
    breakOff(): void {
        this.#options.response.destroy();
    }

    #writeHead(head: AnswerHead): void {
        if (this.#begun) {
            return;
        }
        this.#begun = true;
        const headers = passThroughHeaders(head.rawHeaders, NO_CONTENT_LENGTH);
        this.#options.response.writeHead(head.status, [...headers, ...this.#closingHeaders()]);
    }

    #closingHeaders(): string[] {
        return this.#options.isLeaving() ? ["Connection", "close"] : [];
    }

    #noteEvents(count: number): void {
        const now = this.#options.readClock();
        if (this.#firstByteAt === undefined) {
            this.#firstByteAt = now;
        }
        else {
            this.#longestGapMilliseconds = Math.max(this.#longestGapMilliseconds, now - this.#lastEventsAt);
        }
        this.#lastEventsAt = now;
        this.#events += count;
    }
}
