/**
 * Feeds the parser of an HTTP server one request at a time.
 *
 * Node's parser turns all that one read brings, up to 64 KiB, into requests and pieces of bodies before any limit is
 * checked. What was read is therefore handed to it in parts, and the socket is not read while any is left.
 *
 * @module
 */
import { type IncomingMessage, maxHeaderSize, type Server, type ServerResponse } from "node:http";
import { type Socket } from "node:net";
import { type Duplex } from "node:stream";
import { type MemoryBudget } from "../../memory/index.js";
import { ConnectionFeed } from "./_connectionFeed.js";

/** Time of one turn of the event loop that parsing what was left of earlier turns may take. */
const TURN_MILLISECONDS = 4;

/** Parts of one connection that are parsed before another connection's. */
const PARTS_AT_ONCE = 4;

/** Part of the requests' memory that header fields without their end may take, so that whole requests find room. */
const FIELDS_PART = 0.5;

/** Error codes of the parser begin with this. */
const PARSER_ERROR_PREFIX = "HPE_";

/** Options of {@linkcode ParserFeeds}. */
export interface ParserFeedsOptions {
    readonly memory: MemoryBudget;
    /** Requests of a connection that may be unanswered when the next is parsed; unlimited by default. */
    readonly maximumUnanswered?: number;
    /** What a connection sent ahead finds no memory; it was dropped, and the connection has to be closed. */
    readonly onNoRoom: (socket: Duplex) => void;
}

/** Returns the limit for the header fields of a server's connections that begin now, which Node's types do not name. */
function headerBytesOf(server: Server): number {
    return (server as Server & { readonly maxHeaderSize?: number; }).maxHeaderSize ?? maxHeaderSize;
}

/**
 * Hands what the connections of servers bring to their parsers in parts that hold one request, or a bounded number of
 * chunks. The first parts of a read are parsed at once; the rest in turns with other connections, while its connection
 * is not paused.
 *
 * @example
 * ```ts
 * const feeds = new ParserFeeds({ memory, onNoRoom: socket => socket.destroy() });
 * feeds.attach(server);
 * ```
 */
export class ParserFeeds {
    readonly #options: ParserFeedsOptions;
    readonly #feeds = new WeakMap<Duplex, ConnectionFeed>();
    /** Connections with something to parse, in the order of their turns. */
    readonly #ready = new Set<ConnectionFeed>();
    /** Memory of header fields without their end, of all connections. */
    #fieldsBytes = 0;
    #isScheduled = false;

    constructor(options: ParserFeedsOptions) {
        this.#options = options;
    }

    /** Takes over the connections of a server; to be called once its own listeners are set, before it listens. */
    attach(server: Server): void {
        server.on("connection", (socket: Socket) => this.#add(socket, headerBytesOf(server)));
        const begin = (message: IncomingMessage, response: ServerResponse): void => this.#begin(message, response);
        server.prependListener("request", begin);
        // Without a listener Node itself answers an unknown expectation.
        if (server.listenerCount("checkExpectation") > 0) {
            server.prependListener("checkExpectation", begin);
        }
        server.on("connect", (_message: IncomingMessage, socket: Duplex) => this.#feeds.get(socket)?.end());
        server.prependListener("clientError", ({ code }: NodeJS.ErrnoException, socket: Duplex) => {
            if (code?.startsWith(PARSER_ERROR_PREFIX) === true) {
                this.#feeds.get(socket)?.end();
            }
        });
    }

    /** Returns whether something was read from a connection and is not yet parsed. */
    hasUnparsed(socket: Duplex): boolean {
        return this.#feeds.get(socket)?.hasUnparsed === true;
    }

    /** Node reads a connection in its own code until somebody else listens for its data. */
    #add(socket: Socket, maximumFieldsBytes: number): void {
        const [parse] = socket.listeners("data") as ((bytes: Buffer) => void)[];
        if (parse === undefined) {
            return;
        }
        const { maximumUnanswered = Infinity, memory, onNoRoom } = this.#options;
        const feed: ConnectionFeed = new ConnectionFeed(socket, {
            parse,
            reservation: memory.begin("requests"),
            holdFields: this.#createFieldsCount(),
            maximumFieldsBytes,
            maximumUnanswered,
            onReady: () => this.#schedule(feed),
            onNoRoom: () => onNoRoom(socket),
        });
        socket.removeListener("data", parse);
        this.#feeds.set(socket, feed);
    }

    /** Returns what counts the memory of one connection's header fields without their end. */
    #createFieldsCount(): (bytes: number) => boolean {
        let heldBytes = 0;
        return bytes => {
            const totalBytes = this.#fieldsBytes - heldBytes + bytes;
            const mayHold = bytes <= heldBytes
                || totalBytes <= this.#options.memory.shareBytes("requests") * FIELDS_PART;
            if (mayHold) {
                this.#fieldsBytes = totalBytes;
                heldBytes = bytes;
            }
            return mayHold;
        };
    }

    #begin(message: IncomingMessage, response: ServerResponse): void {
        const feed = this.#feeds.get(message.socket);
        feed?.beginRequest(message);
        if (this.#options.maximumUnanswered !== undefined) {
            response.once("close", () => feed?.endRequest());
        }
    }

    #schedule(feed: ConnectionFeed): void {
        this.#ready.add(feed);
        if (!this.#isScheduled) {
            this.#isScheduled = true;
            setImmediate(() => this.#takeTurn());
        }
    }

    #takeTurn(): void {
        this.#isScheduled = false;
        const endAt = performance.now() + TURN_MILLISECONDS;
        for (const feed of [...this.#ready]) {
            if (performance.now() >= endAt) {
                break;
            }
            this.#ready.delete(feed);
            for (let parts = 0; parts < PARTS_AT_ONCE && feed.isReady; parts += 1) {
                feed.parsePart();
            }
            feed.settle();
        }
        const [next] = this.#ready;
        if (next !== undefined) {
            this.#schedule(next);
        }
    }
}
