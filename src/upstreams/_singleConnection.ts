/**
 * HTTP calls over one connection that is never re-established.
 *
 * Without reconnects, a call that fails before the connection is established was certainly not sent.
 *
 * @module
 */
import { Err, Ok, type Result } from "ts-results-es";
import { buildConnector, Client } from "undici";
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

/** One connection to an upstream. It is established by the first call; calls run one after another. */
export class SingleConnection {
    readonly #client: Client;
    #connected = false;
    #ended = false;

    /**
     * Creates a connection without establishing it.
     *
     * @param url The upstream's origin.
     * @param connectTimeoutMilliseconds Time limit for connecting.
     */
    constructor(url: string, connectTimeoutMilliseconds: number) {
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
                    this.#connected = outcome[0] === null;
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
            const body = await readLimited(answer.body, call.maximumAnswerBytes);
            if (body === undefined) {
                return Err({ kind: "invalid", message: `an answer over ${call.maximumAnswerBytes} bytes` });
            }
            const contentType = String(answer.headers["content-type"] ?? "");
            return Ok({ status: answer.statusCode, contentType, body });
        }
        catch (error) {
            const notSent = !this.#connected || error instanceof ConnectionEndedError;
            return Err({ kind: notSent ? "not-sent" : "no-answer", message: describeError(error) });
        }
    }

    async close(): Promise<void> {
        this.#ended = true;
        await this.#client.destroy();
    }
}
