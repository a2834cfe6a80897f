/**
 * HTTP calls over one connection that is never re-established.
 *
 * Without reconnects, a call that fails before the connection is established was certainly not sent.
 *
 * @module
 */
import { type Socket } from "node:net";
import { Err, Ok, type Result } from "ts-results-es";
import { buildConnector, Client } from "undici";
import {
    type AnswerFault,
    confirmConnectionEnd,
    framingOf,
    isNetworkError,
    refuseBrokenResponse,
} from "../transport/answers/index.js";
import { describeError, readLimited } from "../transport/index.js";
import { type UpstreamError } from "./types.js";

/** One complete HTTP answer. */
export interface HttpAnswer {
    readonly status: number;
    readonly contentType: string;
    readonly body: string;
}

/** Options of one HTTP call. */
export interface HttpCall {
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
    readonly timeoutMilliseconds: number;
    readonly maximumAnswerBytes: number;
}

/** Reported where undici tries to connect a second time. */
class ConnectionEndedError extends Error {}

/** Settings of a connection. */
export interface SingleConnectionOptions {
    readonly connectTimeoutMilliseconds: number;
    /** Called with what is wrong with a broken answer, which counts as none. */
    readonly onBroken?: ((fault: AnswerFault) => void) | undefined;
}

/** One connection to an upstream. It is established by the first call; calls run one after another. */
export class SingleConnection {
    readonly #client: Client;
    readonly #onBroken: SingleConnectionOptions["onBroken"];
    #socket: Socket | undefined;
    /** True once an answer has begun that only the end of the connection completes, so that it is the last one. */
    #endsWithAnswer = false;
    #ended = false;

    /**
     * Creates a connection without establishing it.
     *
     * @param url The upstream's origin.
     * @param options Time limit for connecting, and a callback for broken answers.
     */
    constructor(url: string, { connectTimeoutMilliseconds, onBroken }: SingleConnectionOptions) {
        this.#onBroken = onBroken;
        const connect = buildConnector({ timeout: connectTimeoutMilliseconds });
        let connectRequested = false;
        this.#client = new Client(url, {
            pipelining: 1,
            headersTimeout: 0,
            bodyTimeout: 0,
            connect: (options, callback) => {
                if (connectRequested) {
                    callback(new ConnectionEndedError("the connection has ended"), null);
                    return;
                }
                connectRequested = true;
                connect(options, (...outcome) => {
                    this.#socket = outcome[1] ?? undefined;
                    callback(...outcome);
                });
            },
        });
        this.#client.on("disconnect", () => {
            this.#ended = true;
        });
        this.#client.on("connectionError", () => {
            this.#ended = true;
        });
    }

    /** True once the connection cannot carry another call. */
    get ended(): boolean {
        return this.#ended;
    }

    /** Makes one call; fails as `not-sent` where the connection was never established or had already ended. */
    async call(call: HttpCall): Promise<Result<HttpAnswer, UpstreamError>> {
        if (this.#ended) {
            return Err({ kind: "not-sent", message: "the connection has ended" });
        }
        try {
            const answer = await this.#client.request({
                method: call.method,
                path: call.path,
                headers: { ...call.headers },
                body: call.body ?? null,
                signal: AbortSignal.timeout(call.timeoutMilliseconds),
            });
            const fault = refuseBrokenResponse(answer);
            if (fault !== undefined) {
                return await this.#refuse(fault);
            }
            const head = { status: answer.statusCode, headers: answer.headers };
            if (this.#socket !== undefined && framingOf(head, call.method) === "connection-end") {
                this.#endsWithAnswer = true;
                confirmConnectionEnd(this.#socket);
            }
            const body = await readLimited(answer.body, call.maximumAnswerBytes);
            if (this.#isCutOff) {
                return await this.#refuse("reset-at-end");
            }
            if (body === undefined) {
                return Err({ kind: "invalid", message: `an answer over ${call.maximumAnswerBytes} bytes` });
            }
            const contentType = String(answer.headers["content-type"] ?? "");
            return Ok({ status: answer.statusCode, contentType, body });
        }
        catch (error) {
            if (this.#isCutOff) {
                return this.#refuse("reset-at-end");
            }
            const notSent = this.#socket === undefined || error instanceof ConnectionEndedError;
            return Err({ kind: notSent ? "not-sent" : "no-answer", message: describeError(error) });
        }
    }

    /**
     * True where an answer ended with a reset. Undici takes one for the end of an answer that has no length, and destroys
     * the connection with an error of its own after a sound one.
     */
    get #isCutOff(): boolean {
        return this.#endsWithAnswer && isNetworkError(this.#socket?.errored);
    }

    /** Gives up the connection after a broken answer. */
    async #refuse(fault: AnswerFault): Promise<Result<HttpAnswer, UpstreamError>> {
        this.#onBroken?.(fault);
        await this.close();
        return Err({ kind: "no-answer", message: `broken answer: ${fault}` });
    }

    async close(): Promise<void> {
        this.#ended = true;
        await this.#client.destroy();
    }
}
