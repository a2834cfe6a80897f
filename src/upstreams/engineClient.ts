/**
 * Client of one model engine.
 *
 * @module
 */
import { type Result } from "ts-results-es";
import type * as z from "zod";
import { cacheEventsSchema } from "../generated/upstreams.js";
import { type AnswerReader, type BrokenAnswer } from "../observability/index.js";
import { type AnswerFault } from "../transport/answers/index.js";
import { createReplaceableAgent } from "../transport/index.js";
import { parseAnswer, readReportOn } from "./_answers.js";
import { startCompletion } from "./_completion.js";
import { OrderConnections } from "./_orderConnections.js";
import { type HttpAnswer, SingleConnection } from "./_singleConnection.js";
import { type EngineClient, type UpstreamError } from "./types.js";

const DEFAULT_CONNECT_TIMEOUT_MILLISECONDS = 1000;
const DEFAULT_REPORT_TIMEOUT_MILLISECONDS = 2000;
const DEFAULT_ORDER_TIMEOUT_MILLISECONDS = 120_000;
const DEFAULT_MAXIMUM_LINE_BYTES = 256 * 1024;
const DEFAULT_MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024;
const MAXIMUM_EVENTS_BYTES = 4 * 1024 * 1024;
const MAXIMUM_COMPLETION_CONNECTIONS = 1024;
const MAXIMUM_CONCURRENT_ORDERS = 64;

/** Options of an engine client. */
export interface EngineClientOptions {
    readonly name: string;
    readonly url: string;
    /** Time limit for connecting. Default: 1000. */
    readonly connectTimeoutMilliseconds?: number;
    /** Time limit for reading a report or cache events. Default: 2000. */
    readonly reportTimeoutMilliseconds?: number;
    /** Time limit of an order, including the load that it starts. Default: 120000. */
    readonly orderTimeoutMilliseconds?: number;
    /** Maximum length of a line of a stream. Default: 256 KiB. */
    readonly maximumLineBytes?: number;
    /** Maximum length of a streamed answer. Default: 16 MiB. */
    readonly maximumAnswerBytes?: number;
    /** Called with each broken answer, which counts as none. */
    readonly onBrokenAnswer?: ((answer: BrokenAnswer) => void) | undefined;
}

/**
 * Creates a client of one engine.
 *
 * @param options The engine's name and address, and limits on time and size.
 *
 * @example
 * ```ts
 * const engine = createEngineClient({ name: "bag-llm-1", url: "http://127.0.0.1:8001" });
 * const report = await engine.readReport();
 * await engine.close();
 * ```
 */
export function createEngineClient(options: EngineClientOptions): EngineClient {
    const connectTimeoutMilliseconds = options.connectTimeoutMilliseconds ?? DEFAULT_CONNECT_TIMEOUT_MILLISECONDS;
    const reportTimeoutMilliseconds = options.reportTimeoutMilliseconds ?? DEFAULT_REPORT_TIMEOUT_MILLISECONDS;
    const agent = createReplaceableAgent({
        connections: MAXIMUM_COMPLETION_CONNECTIONS,
        pipelining: 1,
        headersTimeout: 0,
        bodyTimeout: 0,
        connect: { timeout: connectTimeoutMilliseconds },
    });
    const reportBroken = (reader: AnswerReader) => (fault: AnswerFault): void =>
        options.onBrokenAnswer?.({ reader, address: options.url, fault });
    const readOptions = { connectTimeoutMilliseconds, onBroken: reportBroken("report") };
    const target = {
        onBroken: reportBroken("request"),
        agent,
        url: options.url,
        maximumLineBytes: options.maximumLineBytes ?? DEFAULT_MAXIMUM_LINE_BYTES,
        maximumAnswerBytes: options.maximumAnswerBytes ?? DEFAULT_MAXIMUM_ANSWER_BYTES,
    };
    const orders = new OrderConnections({
        onBroken: reportBroken("order"),
        url: options.url,
        connectTimeoutMilliseconds,
        reportTimeoutMilliseconds,
        orderTimeoutMilliseconds: options.orderTimeoutMilliseconds ?? DEFAULT_ORDER_TIMEOUT_MILLISECONDS,
        maximumConcurrentOrders: MAXIMUM_CONCURRENT_ORDERS,
    });
    let readConnection = new SingleConnection(options.url, readOptions);

    /** Makes a call on the persistent connection for reports and cache events; replaces one that has ended. */
    async function callOnReadConnection<Value>(
        callOn: (connection: SingleConnection) => Promise<Result<Value, UpstreamError>>,
    ): Promise<Result<Value, UpstreamError>> {
        if (readConnection.ended) {
            readConnection = new SingleConnection(options.url, readOptions);
        }
        const connection = readConnection;
        const answer = await callOn(connection);
        if (answer.isErr()) {
            await connection.close();
        }
        return answer;
    }

    return {
        complete: completion => startCompletion(target, completion),
        sendOrder: (order, incarnation) => orders.send(order, incarnation),
        readReport: () => callOnReadConnection(connection => readReportOn(connection, reportTimeoutMilliseconds)),
        readCacheEvents: after =>
            callOnReadConnection(async connection => {
                const answer = await connection.call({
                    method: "GET",
                    path: `/admin/cache-events?after=${after}`,
                    timeoutMilliseconds: reportTimeoutMilliseconds,
                    maximumAnswerBytes: MAXIMUM_EVENTS_BYTES,
                });
                return answer.andThen(httpAnswer => parseCacheEvents(httpAnswer));
            }),
        async close() {
            await Promise.all([agent.destroy(), orders.close(), readConnection.close()]);
        },
    };
}

function parseCacheEvents(answer: HttpAnswer): Result<z.infer<typeof cacheEventsSchema>, UpstreamError> {
    return parseAnswer(cacheEventsSchema, answer);
}
