/**
 * One request to an upstream, and what came of it.
 *
 * @module
 */
import { type Agent, type IncomingHttpHeaders, type IncomingMessage, request as sendRequest } from "node:http";
import { type Socket } from "node:net";

/** Interim answers before an answer; an upstream that sends more does not come to it. */
const MOST_INTERIM_ANSWERS = 16;

/** Head of an upstream's answer. */
export interface AnswerHead {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    /** Names and values by turns, as they came. */
    readonly rawHeaders: readonly string[];
}

/** How a call ended without a whole answer. */
export type CallFailure = "not-connected" | "connection-lost" | "invalid-answer";

/** What is sent where, and who is told. */
export interface UpstreamCallOptions {
    readonly agent: Agent;
    /** IP number and port. */
    readonly address: string;
    readonly method: string;
    readonly path: string;
    /** Names and values by turns. */
    readonly headers: readonly string[];
    readonly body: Buffer;
    /** A connection that does not stand by then is given up. */
    readonly connectTimeoutMilliseconds: number;
    onHead(head: AnswerHead): void;
    onData(piece: Buffer): void;
    /** The answer is whole, as far as its framing tells. */
    onEnd(): void;
    /** Told once, in place of `onEnd`. */
    onFailure(failure: CallFailure, detail: string): void;
}

/** A call in progress. */
export interface UpstreamCall {
    /** Ends the call at once and tells nobody. */
    cancel(): void;
    pause(): void;
    resume(): void;
    /** False as long as no byte can have left this host. */
    readonly mayHaveSent: boolean;
}

/** Tells whether an answer has no length of its own, so that only the end of its connection ends it. */
function endsWithConnection(answer: IncomingMessage): boolean {
    return answer.headers["content-length"] === undefined && answer.headers["transfer-encoding"] === undefined;
}

/**
 * Finds out whether a connection that ends was reset. The event loop reports a reset that comes together with the last
 * bytes as an orderly end; a write then still fails, and after an orderly end it does not.
 */
function probeResetAtEnd(socket: Socket): void {
    socket.prependOnceListener("end", () => void socket.write("\r\n"));
}

class RunningCall implements UpstreamCall {
    readonly #options: UpstreamCallOptions;
    readonly #request;
    #answer: IncomingMessage | undefined;
    #connected = false;
    #settled = false;
    #interimAnswers = 0;
    #connectTimer: NodeJS.Timeout | undefined;

    constructor(options: UpstreamCallOptions) {
        this.#options = options;
        const separator = options.address.lastIndexOf(":");
        this.#request = sendRequest({
            agent: options.agent,
            host: options.address.slice(0, separator),
            port: Number(options.address.slice(separator + 1)),
            method: options.method,
            path: options.path,
            headers: [...options.headers] as never,
        });
        this.#request.on("socket", socket => this.#watchConnection(socket));
        this.#request.on("information", () => this.#noteInterimAnswer());
        this.#request.on("response", answer => this.#takeAnswer(answer));
        this.#request.on("error", error => this.#fail(this.#classify(error), error.message));
        this.#request.on("close", () => this.#fail("connection-lost", "the connection closed"));
        this.#connectTimer = setTimeout(() => this.#giveUpConnecting(), options.connectTimeoutMilliseconds);
        this.#request.end(options.body.length === 0 ? undefined : options.body);
    }

    get mayHaveSent(): boolean {
        return this.#connected;
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
        if (socket.connecting) {
            socket.once("connect", () => this.#noteConnected());
        }
        else {
            this.#noteConnected();
        }
    }

    #noteConnected(): void {
        this.#connected = true;
        clearTimeout(this.#connectTimer);
    }

    #giveUpConnecting(): void {
        if (!this.#connected) {
            this.#fail("not-connected", "no connection in time");
            this.#request.destroy();
        }
    }

    #noteInterimAnswer(): void {
        this.#interimAnswers += 1;
        if (this.#interimAnswers > MOST_INTERIM_ANSWERS) {
            this.#fail("invalid-answer", "interim answers without an end");
            this.#request.destroy();
        }
    }

    #takeAnswer(answer: IncomingMessage): void {
        if (this.#settled) {
            answer.resume();
            return;
        }
        this.#answer = answer;
        if (endsWithConnection(answer)) {
            probeResetAtEnd(answer.socket);
        }
        answer.on("data", (piece: Buffer) => {
            if (!this.#settled) {
                this.#options.onData(piece);
            }
        });
        answer.on("end", () => endsWithConnection(answer) ? this.#finishAtClose(answer) : this.#finish(answer));
        answer.on("error", error => this.#fail("connection-lost", error.message));
        answer.on("aborted", () => this.#fail("connection-lost", "the answer was cut"));
        this.#options.onHead({
            status: answer.statusCode ?? 0,
            headers: answer.headers,
            rawHeaders: answer.rawHeaders,
        });
    }

    #finish(answer: IncomingMessage): void {
        if (!answer.complete) {
            this.#fail("connection-lost", "the answer ended early");
            return;
        }
        if (this.#settle()) {
            this.#options.onEnd();
        }
    }

    /** Waits one turn of the event loop for the outcome of the probe. */
    #finishAtClose(answer: IncomingMessage): void {
        setImmediate(() => {
            if (answer.socket.errored === null) {
                this.#finish(answer);
            }
            else {
                this.#fail("connection-lost", `reset at the end: ${answer.socket.errored.message}`);
            }
        });
    }

    #classify(error: Error): CallFailure {
        if (!this.#connected) {
            return "not-connected";
        }
        const { code } = error as NodeJS.ErrnoException;
        return code?.startsWith("HPE_") === true ? "invalid-answer" : "connection-lost";
    }

    #fail(failure: CallFailure, detail: string): void {
        if (this.#settle()) {
            this.#options.onFailure(failure, detail);
        }
    }

    /** Ends the call in the books; false where it has ended before. */
    #settle(): boolean {
        clearTimeout(this.#connectTimer);
        if (this.#settled) {
            return false;
        }
        this.#settled = true;
        return true;
    }
}

/**
 * Sends a request to an upstream.
 *
 * @param options What to send, and callbacks for the answer.
 *
 * @example
 * ```ts
 * const call = callUpstream({ agent, address: "10.128.0.9:8080", ...request, onHead, onData, onEnd, onFailure });
 * call.cancel();
 * ```
 */
export function callUpstream(options: UpstreamCallOptions): UpstreamCall {
    return new RunningCall(options);
}
