/**
 * Client of plain services.
 *
 * @module
 */
import { type BrokenAnswer } from "../observability/index.js";
import { SingleConnection } from "./_singleConnection.js";
import { type PlainServiceClient } from "./types.js";

const DEFAULT_CONNECT_TIMEOUT_MILLISECONDS = 1000;
const DEFAULT_MAXIMUM_ANSWER_BYTES = 1024 * 1024;

/** Options of a client of plain services. */
export interface PlainServiceClientOptions {
    /** Time limit for connecting. Default: 1000. */
    readonly connectTimeoutMilliseconds?: number;
    /** Maximum length of an answer. Default: 1 MiB. */
    readonly maximumAnswerBytes?: number;
    /** Called with each broken answer, which counts as none. */
    readonly onBrokenAnswer?: ((answer: BrokenAnswer) => void) | undefined;
}

/**
 * Creates a client of plain services.
 *
 * Each call uses a new connection and is sent at most once, so `not-sent` is certain: it means that no connection was
 * established.
 *
 * @param options Limits on the time to connect and on the size of answers.
 *
 * @example
 * ```ts
 * const services = createPlainServiceClient();
 * const outcome = await services.call("http://127.0.0.1:8101", {
 *     call: "cut-reel",
 *     key: "ticket/7",
 *     body: "{}",
 *     contentType: "application/json",
 *     timeoutMilliseconds: 5000,
 * });
 * ```
 */
export function createPlainServiceClient(options: PlainServiceClientOptions = {}): PlainServiceClient {
    const connectTimeoutMilliseconds = options.connectTimeoutMilliseconds ?? DEFAULT_CONNECT_TIMEOUT_MILLISECONDS;
    const maximumAnswerBytes = options.maximumAnswerBytes ?? DEFAULT_MAXIMUM_ANSWER_BYTES;
    const open = new Set<SingleConnection>();
    return {
        async call(url, { call, key, body, contentType, timeoutMilliseconds }) {
            const connection = new SingleConnection(new URL(url).origin, {
                connectTimeoutMilliseconds,
                onBroken: fault => options.onBrokenAnswer?.({ reader: "service-call", address: url, fault }),
            });
            open.add(connection);
            const answer = await connection.call({
                method: "POST",
                path: `${new URL(url).pathname.replace(/\/$/, "")}/calls/${encodeURIComponent(call)}`,
                headers: { "content-type": contentType, "idempotency-key": key },
                body,
                timeoutMilliseconds,
                maximumAnswerBytes,
            });
            open.delete(connection);
            await connection.close();
            return answer;
        },
        async close() {
            await Promise.all([...open].map(connection => connection.close()));
        },
    };
}
