/**
 * Sends one HTTP request to an upstream and reports its answer or failure.
 *
 * @module
 */
import { type Agent, type IncomingMessage, request as sendRequest } from "node:http";
import { type Socket } from "node:net";
import { freeBytes } from "../memory/index.js";
import { type AnswerFault, type AnswerHead, ChunkJoiner, receiveAnswer } from "../transport/answers/index.js";
import { parseAddress, readTurns } from "../transport/index.js";
import { type Acts } from "./actQueue.js";

/** Interim (1xx) answers accepted before the final one; guards against an upstream that sends them without end. */
const MAXIMUM_INTERIM_ANSWERS = 16;

/** Smaller reads are left to be collected. */
const MINIMUM_FREED_BYTES = 8 * 1024;

/** Why a call ended without a complete answer. */
export type CallFailure =
    /** No connection was established. */
    | "not-connected"
    /** The connection was closed, or brought bytes, before the request was sent on it. */
    | "withdrawn"
    | "connection-lost"
    | "invalid-answer";

/** The request, its destination and the callbacks for its answer. */
export interface UpstreamCallOptions {
    readonly acts: Pick<Acts, "afterReading">;
    readonly agent: Agent;
    /** IP address and port. */
    readonly address: string;
    readonly method: string;
    readonly path: string;
    /** Returns alternating names and values, when the request is sent. */
    readonly headers: () => readonly string[];
    readonly body: Buffer;
    /**
     * Holds the body for the call, once it has begun; what it returns is called once, when the body is not read any
     * more: it was written whole, or never will be.
     */
    readonly holdBody?: () => () => void;
    /** Time after which an unestablished connection fails the call. */
    readonly connectTimeoutMilliseconds: number;
    /** A connection is established. No byte of the request leaves before {@linkcode UpstreamCall.send} is called. */
    onConnected(): void;
    onHead(head: AnswerHead): void;
    onData(chunk: Buffer): void;
    /** The answer is complete according to its framing. */
    onEnd(): void;
    /** The answer is broken; `onFailure` follows. */
    onBroken?(fault: AnswerFault): void;
    /** The call failed; called at most once, and in place of `onEnd`. `code` is that of a system error. */
    onFailure(failure: CallFailure, detail: string, code: string | undefined): void;
}

/** A call in progress. */
export interface UpstreamCall {
    /** Sends the request, on the connection that is established; has no effect a second time, or once the call ended. */
    send(): void;
    /** Ends the call at once, without a callback. */
    cancel(): void;
    pause(): void;
    resume(): void;
    /** False while no byte can have left this host. */
    readonly mayHaveSent: boolean;
    /** True while the body may still be read. */
    readonly holdsBody: boolean;
}

/** Frees what was read from a connection and parsed. */
function freeLargeRead(bytes: Buffer): void {
    if (bytes.length >= MINIMUM_FREED_BYTES) {
        freeBytes(bytes);
    }
}

/** Handles what was read from a connection and parsed. */
function handleRead(socket: Socket, bytes: Buffer): void {
    readTurns.recordRead(socket, bytes);
    freeLargeRead(bytes);
}

class RunningCall implements UpstreamCall {
    readonly #options: UpstreamCallOptions;
    readonly #request;
    #answer: IncomingMessage | undefined;
    readonly #joiner: ChunkJoiner;
    #connected = false;
    #sent = false;
    #settled = false;
    #holdsBody = true;
    readonly #giveUpBody: () => void;
    #interimAnswers = 0;
    #connectTimer: NodeJS.Timeout | undefined;

    constructor(options: UpstreamCallOptions) {
        this.#options = options;
        this.#request = sendRequest({
            agent: options.agent,
            ...parseAddress(options.address).unwrap(),
            method: options.method,
            path: options.path,
            setHost: false,
        });
        this.#joiner = new ChunkJoiner(bytes => this.#handleData(bytes));
        this.#giveUpBody = options.holdBody?.() ?? (() => undefined);
        this.#request.on("socket", socket => this.#watchConnection(socket));
        this.#request.on("information", () => this.#recordInterimAnswer());
        receiveAnswer(this.#request, {
            onAnswer: (answer, head) => this.#handleAnswer(answer, head),
            onBroken: (fault, error) => this.#handleBroken(fault, error),
        });
        this.#request.on("error", (error: NodeJS.ErrnoException) => this.#handleError(error));
        this.#request.on("finish", () => this.#handleWritten());
        this.#request.on("close", () => {
            this.#releaseBody();
            this.#handleClose();
        });
        this.#connectTimer = setTimeout(() => this.#handleConnectTimeout(), options.connectTimeoutMilliseconds);
    }

    get mayHaveSent(): boolean {
        return this.#sent;
    }

    get holdsBody(): boolean {
        return this.#holdsBody;
    }

    send(): void {
        if (this.#settled || this.#sent || !this.#connected) {
            return;
        }
        const { body } = this.#options;
        this.#writeHeaders();
        this.#sent = true;
        this.#request.end(body.length === 0 ? undefined : body);
    }

    #writeHeaders(): void {
        const headers = this.#options.headers();
        for (let index = 0; index < headers.length; index += 2) {
            this.#request.appendHeader(headers[index] ?? "", headers[index + 1] ?? "");
        }
    }

    cancel(): void {
        this.#settle();
        this.#request.destroy();
    }

    pause(): void {
        this.#answer?.pause();
    }

    resume(): void {
        this.#answer?.resume();
    }

    #watchConnection(socket: Socket): void {
        const onRead = (bytes: Buffer): void => handleRead(socket, bytes);
        // Runs after Node's own listener, which copies what it reads.
        socket.on("data", onRead);
        this.#request.once("close", () => socket.removeListener("data", onRead));
        if (socket.connecting) {
            socket.once("connect", () => this.#recordConnected());
        }
        else {
            this.#recordConnected();
        }
    }

    #recordConnected(): void {
        this.#connected = true;
        clearTimeout(this.#connectTimer);
        if (!this.#settled) {
            this.#options.onConnected();
        }
    }

    /** Fails the call if, by what has arrived, it is not connected. */
    #handleConnectTimeout(): void {
        this.#options.acts.afterReading(() => {
            if (!this.#connected) {
                this.#fail("not-connected", "connection attempt timed out");
                this.#request.destroy();
            }
        });
    }

    #recordInterimAnswer(): void {
        this.#interimAnswers += 1;
        if (this.#interimAnswers > MAXIMUM_INTERIM_ANSWERS) {
            this.#fail("invalid-answer", "too many interim answers");
            this.#request.destroy();
        }
    }

    #handleAnswer(answer: IncomingMessage, head: AnswerHead): void {
        if (this.#settled) {
            answer.resume();
            return;
        }
        if (!this.#sent) {
            this.#failUnsent();
            return;
        }
        this.#answer = answer;
        answer.on("data", (chunk: Buffer) => this.#joiner.add(chunk));
        answer.on("end", () => this.#finish(answer));
        answer.on("error", error => this.#fail("connection-lost", error.message));
        answer.on("aborted", () => this.#fail("connection-lost", "connection aborted during the answer"));
        this.#options.onHead(head);
    }

    #handleData(bytes: Buffer): void {
        if (!this.#settled) {
            this.#options.onData(bytes);
        }
    }

    /** A whole answer of which a part is still to be read ends when that was read. */
    get #isWholeAnswerPending(): boolean {
        return this.#answer?.complete === true;
    }

    #handleError(error: NodeJS.ErrnoException): void {
        if (!this.#isWholeAnswerPending) {
            this.#fail(this.#classify(error), error.message, error.code);
        }
    }

    #handleClose(): void {
        if (!this.#isWholeAnswerPending) {
            this.#fail(this.#failureAtClose, "connection closed before the answer was complete");
        }
    }

    #finish(answer: IncomingMessage): void {
        this.#joiner.flush();
        if (!answer.complete) {
            this.#fail("connection-lost", "answer truncated");
            return;
        }
        if (this.#settle()) {
            this.#options.onEnd();
        }
    }

    #handleBroken(fault: AnswerFault, error: NodeJS.ErrnoException | undefined): void {
        if (this.#settled) {
            return;
        }
        if (!this.#sent) {
            this.#failUnsent();
            return;
        }
        this.#options.onBroken?.(fault);
        if (error === undefined) {
            this.#fail("invalid-answer", `broken head: ${fault}`);
        }
        else {
            this.#fail("connection-lost", `connection reset at the end of the answer: ${error.message}`, error.code);
        }
    }

    #failUnsent(): void {
        this.#fail("withdrawn", "an answer came before the request was sent");
        this.#request.destroy();
    }

    get #failureAtClose(): CallFailure {
        if (this.#sent) {
            return "connection-lost";
        }
        return this.#connected ? "withdrawn" : "not-connected";
    }

    #classify(error: Error): CallFailure {
        if (!this.#sent) {
            return this.#failureAtClose;
        }
        const { code } = error as NodeJS.ErrnoException;
        return code?.startsWith("HPE_") === true ? "invalid-answer" : "connection-lost";
    }

    #fail(failure: CallFailure, detail: string, code?: string): void {
        this.#joiner.flush();
        if (this.#settle()) {
            this.#options.onFailure(failure, detail, code);
        }
    }

    /** Marks the call as ended; false where it had ended already. */
    #settle(): boolean {
        clearTimeout(this.#connectTimer);
        if (this.#settled) {
            return false;
        }
        this.#settled = true;
        if (!this.#sent) {
            this.#releaseBody();
        }
        return true;
    }

    /** A connection that is being closed may read the body until it is closed. */
    #handleWritten(): void {
        if (!this.#request.destroyed && this.#request.socket?.destroyed !== true) {
            this.#releaseBody();
        }
    }

    #releaseBody(): void {
        if (this.#holdsBody) {
            this.#holdsBody = false;
            this.#giveUpBody();
        }
    }
}

/**
 * Sends a request to an upstream.
 *
 * @param options What to send, and callbacks for the answer.
 *
 * @example
 * ```ts
 * const call = callUpstream({
 *     acts,
 *     agent,
 *     address: "10.128.0.9:8080",
 *     ...request,
 *     onConnected: () => call.send(),
 *     onHead,
 *     onData,
 *     onEnd,
 *     onFailure,
 * });
 * call.cancel();
 * ```
 */
export function callUpstream(options: UpstreamCallOptions): UpstreamCall {
    return new RunningCall(options);
}
