/**
 * One connection of a caller.
 *
 * @module
 */
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type Duplex } from "node:stream";
import { HeldMemory, type MemoryReservation } from "../../memory/index.js";
import { type Acts } from "../actQueue.js";
import { discardBody, type ReadBody, readBody, type ReadBodyOptions } from "./_readBody.js";
import { dropHead, headMemory } from "./_requestHead.js";
import { type Arrival, type CloseDecisionOptions, type RequestProblem } from "./arrival.js";
import { type RequestMemory } from "./requestMemory.js";
import { RequestOrder, type RequestPlace, type WaitingLimits } from "./requestOrder.js";
import { readTarget } from "./requestTarget.js";

/** What may wait on one connection; while more does, it is not read, and its caller is not noticed to leave. */
const WAITING_LIMITS: WaitingLimits = { requests: 64, bytes: 1024 * 1024 };

/** What may wait on one connection while the memory for requests is short. */
const SHORT_WAITING_LIMITS: WaitingLimits = { requests: 8, bytes: 64 * 1024 };

/** Time in which a caller should close a connection on which it was told that no request is read any more. */
const LINGER_MILLISECONDS = 1_000;

/** Memory of a request beside its body: its connection, a usual head, and what is known of it until it is answered. */
const REQUEST_BYTES = 20 * 1024;

/** The part of these that is for the head; what a longer one has beyond it counts as often as it is held. */
const USUAL_HEAD_BYTES = 4 * 1024;

/** A head is held as it was received, and as it is sent on. */
const HEADS_OF_REQUEST = 2;

/** Memory of a request that was refused, until it is answered. */
const REFUSED_BYTES = 4 * 1024;

const NO_BODY = Buffer.alloc(0);

/**
 * Returns whether no request behind a message can be answered: its own bytes still arrive, it asks for an upgrade, after
 * which Node drops bytes that it has read, or its answer ends with its connection, for lack of a length and of chunks.
 */
function isLastOfConnection(
    { complete, headers: { upgrade }, httpVersion }: IncomingMessage,
    hasLength: boolean,
): boolean {
    const endsWithConnection = !hasLength && httpVersion === "1.0";
    return !complete || upgrade !== undefined || endsWithConnection;
}

/** A request whose head was read. */
export interface ReceivedHead {
    readonly message: IncomingMessage;
    readonly response: ServerResponse;
    readonly arrivedAtMilliseconds: number;
    /** The longest time for which it may have lain unread before. */
    readonly longestUnreadMilliseconds: number;
    readonly bodyLimitBytes: number;
    /** The request has been answered, or its connection has closed; called once. */
    readonly onEnded: () => void;
    /** Time without a byte after which a body is given up. */
    readonly idleTimeoutMilliseconds: number;
    readonly problem: RequestProblem | undefined;
}

/** Options of {@linkcode CallerConnection}. */
export interface CallerConnectionOptions {
    readonly acts: Pick<Acts, "afterReading">;
    /** Memory of the requests of all connections. */
    readonly memory: RequestMemory;
    /** Names of the header fields that are kept of a request which is refused, in lower case. */
    readonly keptHeaders: readonly string[];
    /** Returns whether all connections are being closed, so that every answer is the last one of its connection. */
    readonly isClosing: () => boolean;
    /** Returns whether something was read from the connection and is not yet parsed. */
    readonly hasUnparsed: () => boolean;
    /** A request was read, and those before it on the connection were answered. */
    readonly onTurn: (arrival: Arrival) => void;
    /** Returns the bytes that refuse a request which was read after the head of the connection's last answer. */
    readonly refuseAfterLast: (message: IncomingMessage) => string;
    /** The connection has closed while requests on it had no whole answer. */
    readonly onUnanswered: (messages: readonly IncomingMessage[]) => void;
}

const PROBLEM_OF_BODY: Readonly<Record<Exclude<ReadBody, Buffer | "caller-left">, RequestProblem>> = {
    "too-large": "body-too-large",
    "no-room": "no-room-for-bodies",
    "idle": "body-stalled",
};

/** Reads a request, and calls back once; not at all if its caller leaves before it was read. */
function readRequest(
    { message, problem }: ReceivedHead,
    options: ReadBodyOptions,
    onRead: (body: Buffer, problem: RequestProblem | undefined) => void,
): void {
    const wantedBytes = REQUEST_BYTES + HEADS_OF_REQUEST * Math.max(0, headMemory(message) - USUAL_HEAD_BYTES);
    const hasRoom = options.held.reservation.tryReserve(wantedBytes);
    const foundProblem = problem ?? (hasRoom ? undefined : "no-room-for-bodies");
    if (foundProblem !== undefined) {
        discardBody(message);
        onRead(NO_BODY, foundProblem);
        return;
    }
    readBody(message, options, body => {
        if (typeof body !== "string") {
            onRead(body, undefined);
        }
        else if (body !== "caller-left") {
            onRead(NO_BODY, PROBLEM_OF_BODY[body]);
        }
    });
}

/**
 * Hands the requests of a connection on one after another, so that none is begun whose answer might not be delivered:
 * an earlier answer that breaks off or closes the connection ends it for all requests behind it.
 */
export class CallerConnection {
    readonly #socket: Duplex;
    readonly #options: CallerConnectionOptions;
    readonly #order = new RequestOrder<Arrival>();
    readonly #unanswered = new Set<IncomingMessage>();
    /** Ends each request that is open, once. */
    readonly #endings = new Set<() => void>();
    /** Open requests that were refused for lack of memory. */
    readonly #withoutRoom = new Set<RequestPlace<Arrival>>();
    /** True once an answer has told the caller that the connection closes. */
    #isLastAnswer = false;
    #isReadingPaused = false;
    #headCount = 0;
    /** Answers bytes that are no request, once the requests before them were answered. */
    #finalAnswer: string | undefined;

    constructor(socket: Duplex, options: CallerConnectionOptions) {
        this.#socket = socket;
        this.#options = options;
        socket.on("resume", () => this.#keepPaused());
        socket.once("close", () => this.#handleClosed());
    }

    /** Number of requests whose head was read. */
    get headCount(): number {
        return this.#headCount;
    }

    /** Number of requests without a whole answer. */
    get openRequestCount(): number {
        return this.#order.size;
    }

    /** True once bytes that are no request were, or are to be, answered; what still arrives is discarded. */
    get isEnding(): boolean {
        return this.#finalAnswer !== undefined;
    }

    /** True while a request that was read whole, or that is being refused, has no whole answer. */
    get hasAnswerDue(): boolean {
        return this.#order.hasRead || [...this.#unanswered].some(({ complete }) => complete);
    }

    /** True while nothing is read since too much waits, or something that was read is not yet parsed. */
    get isReadingPaused(): boolean {
        return this.#isReadingPaused || this.#options.hasUnparsed();
    }

    /** Reads a request and hands it on in its turn. */
    add(head: ReceivedHead): void {
        const { message, response } = head;
        this.#headCount += 1;
        const place = this.#order.add(headMemory(message));
        const unansweredBefore = this.#order.size - 1;
        this.#unanswered.add(message);
        // Runs before Node's own listener, which ends the connection after its last answer.
        response.prependListener("finish", () => this.#handleAnswered(message));
        const held = new HeldMemory(this.#options.memory.begin());
        const giveUpMemory = held.hold();
        const end = (): void => {
            if (this.#endings.delete(end)) {
                giveUpMemory();
                this.#withoutRoom.delete(place);
                head.onEnded();
                this.#handleEnded(place);
            }
        };
        this.#endings.add(end);
        response.on("close", end);
        const options = {
            limitBytes: head.bodyLimitBytes,
            memory: this.#options.memory,
            held,
            acts: this.#options.acts,
            idleTimeoutMilliseconds: head.idleTimeoutMilliseconds,
            isReadingPaused: () => this.#socket.isPaused() || this.#options.hasUnparsed(),
        };
        readRequest(head, options, (body, problem) => {
            if (problem !== undefined && this.#endings.has(end)) {
                this.#shrinkRefused(message, held.reservation);
                this.#noteProblem(place, problem);
            }
            this.#handleRead(place, {
                message,
                response,
                target: readTarget(message),
                body,
                holdBody: () => held.hold(),
                problem,
                arrivedAtMilliseconds: head.arrivedAtMilliseconds,
                longestUnreadMilliseconds: head.longestUnreadMilliseconds,
                unansweredBefore,
                closesConnection: options => this.#decideLast(message, options),
            });
        });
    }

    /** Answers bytes that are no request, after the requests before them, and closes the connection. */
    endWith(answer: string): void {
        if (this.#finalAnswer === undefined) {
            this.#finalAnswer = answer;
            this.#endIfAnswered();
        }
    }

    /** Keeps of a refused request no more than its answer needs. */
    #shrinkRefused(message: IncomingMessage, reservation: MemoryReservation): void {
        dropHead(message, [...this.#options.keptHeaders, "upgrade"]);
        reservation.release();
        reservation.reserve(REFUSED_BYTES);
    }

    #noteProblem(place: RequestPlace<Arrival>, problem: RequestProblem): void {
        if (problem === "no-room-for-bodies") {
            this.#withoutRoom.add(place);
        }
    }

    #decideLast(message: IncomingMessage, { hasLength, isWanted }: CloseDecisionOptions): boolean {
        const isLast = isLastOfConnection(message, hasLength) || this.#options.isClosing();
        const hasSuccessor = this.#order.hasWaiting || this.#finalAnswer !== undefined;
        this.#isLastAnswer = isLast || (isWanted && !hasSuccessor);
        return this.#isLastAnswer;
    }

    #handleRead(place: RequestPlace<Arrival>, arrival: Arrival): void {
        this.#order.setRead(place, arrival, arrival.body.length);
        this.#beginNext();
        this.#updateReading();
    }

    #handleAnswered(message: IncomingMessage): void {
        this.#unanswered.delete(message);
        if (!this.#isLastAnswer) {
            return;
        }
        this.#order.removeWaiting();
        for (const waiting of [...this.#unanswered].filter(({ complete }) => complete)) {
            this.#socket.write(this.#options.refuseAfterLast(waiting));
            this.#unanswered.delete(waiting);
        }
    }

    #handleEnded(place: RequestPlace<Arrival>): void {
        this.#order.end(place);
        if (this.#socket.destroyed) {
            return;
        }
        this.#beginNext();
        this.#updateReading();
        this.#endIfAnswered();
    }

    #beginNext(): void {
        const arrival = this.#isLastAnswer ? undefined : this.#order.takeTurn();
        if (arrival !== undefined) {
            this.#options.onTurn(arrival);
        }
    }

    /** True while more waits than may; behind a request that found no room, none is likely to find any. */
    get #isFull(): boolean {
        const limits = this.#options.memory.isShort ? SHORT_WAITING_LIMITS : WAITING_LIMITS;
        return this.#order.exceeds(limits) || (this.#withoutRoom.size > 0 && this.#order.hasWaiting);
    }

    /** Stops reading while too much waits; what was read of a request in part is read on once less does. */
    #updateReading(): void {
        const isFull = this.#isFull;
        if (isFull === this.#isReadingPaused) {
            return;
        }
        this.#isReadingPaused = isFull;
        if (this.#isReadingPaused) {
            this.#socket.pause();
        }
        else {
            this.#socket.resume();
        }
    }

    /** Node resumes the socket whenever a message is read to its end. */
    #keepPaused(): void {
        if (this.#isReadingPaused) {
            this.#socket.pause();
        }
    }

    #endIfAnswered(): void {
        const isDue = !this.#isLastAnswer && !this.hasAnswerDue && this.#socket.writable;
        if (this.#finalAnswer === undefined || !isDue) {
            return;
        }
        this.#socket.end(this.#finalAnswer);
        setTimeout(() => this.#socket.destroy(), LINGER_MILLISECONDS).unref();
    }

    /** Node does not report the close of responses that wait behind another one. */
    #handleClosed(): void {
        this.#reportUnanswered();
        this.#endings.forEach(end => end());
    }

    #reportUnanswered(): void {
        if (this.#unanswered.size > 0) {
            this.#options.onUnanswered([...this.#unanswered]);
        }
    }
}
