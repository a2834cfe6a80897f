/**
 * Client of the key-value service, over the JSON gateway of etcd v3.
 *
 * @module
 */
import { Err, Ok, type Result } from "ts-results-es";
import type * as z from "zod";
import { type BrokenAnswer } from "../observability/index.js";
import { type AnswerFault } from "../transport/answers/index.js";
import { createReplaceableAgent } from "../transport/index.js";
import {
    decodeEntry,
    encodeRangeEnd,
    encodeText,
    grantAnswerSchema,
    keepAliveAnswerSchema,
    rangeAnswerSchema,
    revokeAnswerSchema,
    transactionAnswerSchema,
} from "./_gateway.js";
import { callPlatform } from "./_http.js";
import { runWatch } from "./_watch.js";
import { type KeyValueService, type PlatformError, type SwapOptions, type SwapOutcome } from "./types.js";

const DEFAULT_TIMEOUT_MILLISECONDS = 2000;
const DEFAULT_WATCH_IDLE_TIMEOUT_MILLISECONDS = 30_000;
const MAXIMUM_ANSWER_BYTES = 64 * 1024 * 1024;
const MAXIMUM_WATCH_MESSAGE_BYTES = 4 * 1024 * 1024;
const MAXIMUM_CONNECTIONS = 64;
const MILLISECONDS_PER_SECOND = 1000;

/** Options of a key-value client. */
export interface KeyValueClientOptions {
    /** Addresses of the service; a call that could not be sent to one address is sent to the next. */
    readonly urls: readonly string[];
    /** Time limit of one call. Default: 2000. */
    readonly timeoutMilliseconds?: number;
    /** A watch is ended after this long without data. Default: 30000. */
    readonly watchIdleTimeoutMilliseconds?: number;
    /** Called with each broken answer, which counts as none. */
    readonly onBrokenAnswer?: ((answer: BrokenAnswer) => void) | undefined;
}

function createSwapRequest(key: string, options: SwapOptions): unknown {
    const encodedKey = encodeText(key);
    const lease = options.lease === undefined ? {} : { lease: options.lease };
    const compare = {
        key: encodedKey,
        target: "MOD",
        result: "EQUAL",
        mod_revision: String(options.expectedRevision),
    };
    return {
        compare: [compare],
        success: [{ request_put: { key: encodedKey, value: encodeText(options.value), ...lease } }],
        failure: [{ request_range: { key: encodedKey } }],
    };
}

function decodeSwapAnswer(answer: z.infer<typeof transactionAnswerSchema>): SwapOutcome {
    if (answer.succeeded) {
        return { type: "written", revision: answer.header.revision };
    }
    const found = answer.responses[0]?.response_range?.kvs[0];
    return { type: "conflict", current: found === undefined ? undefined : decodeEntry(found) };
}

/**
 * Creates a client of the key-value service.
 *
 * A call is retried, at the next address, only where no byte of it can have reached the service.
 *
 * @param options Addresses and time limits.
 *
 * @example
 * ```ts
 * const keyValue = createKeyValueClient({ urls: ["http://127.0.0.1:2379"] });
 * const entry = await keyValue.get("configuration");
 * await keyValue.close();
 * ```
 */
export function createKeyValueClient(options: KeyValueClientOptions): KeyValueService {
    const timeoutMilliseconds = options.timeoutMilliseconds ?? DEFAULT_TIMEOUT_MILLISECONDS;
    const agent = createReplaceableAgent({
        connections: MAXIMUM_CONNECTIONS,
        pipelining: 1,
        connect: { timeout: timeoutMilliseconds },
    });
    const watches = new Set<{ close(): Promise<void>; }>();
    let urlIndex = 0;

    function chooseUrl(): string {
        return options.urls[urlIndex % options.urls.length] ?? "";
    }

    function reportBroken(address: string): (fault: AnswerFault) => void {
        return fault => options.onBrokenAnswer?.({ reader: "store", address, fault });
    }

    async function call<Schema extends z.ZodType>(
        path: string,
        body: unknown,
        schema: Schema,
    ): Promise<Result<z.infer<Schema>, PlatformError>> {
        let outcome: Result<z.infer<Schema>, PlatformError> = Err({
            kind: "not-sent",
            message: "the client has no address",
        });
        for (let attempt = 0; attempt < options.urls.length; attempt += 1) {
            const bounds = { timeoutMilliseconds, maximumAnswerBytes: MAXIMUM_ANSWER_BYTES };
            const origin = chooseUrl();
            const target = { agent, origin, path, method: "POST" as const, body, schema };
            outcome = await callPlatform({ ...target, ...bounds, onBroken: reportBroken(origin) });
            if (outcome.isOk() || outcome.error.kind === "rejected" || outcome.error.kind === "invalid") {
                return outcome;
            }
            urlIndex += 1;
            if (outcome.error.kind !== "not-sent") {
                return outcome;
            }
        }
        return outcome;
    }

    return {
        async get(key) {
            const answer = await call("/v3/kv/range", { key: encodeText(key) }, rangeAnswerSchema);
            return answer.map(({ kvs }) => kvs[0] === undefined ? undefined : decodeEntry(kvs[0]));
        },
        async list(prefix) {
            const range = { key: encodeText(prefix), range_end: encodeRangeEnd(prefix) };
            const answer = await call("/v3/kv/range", range, rangeAnswerSchema);
            return answer.map(({ kvs }) => kvs.map(decodeEntry));
        },
        async snapshot(prefix) {
            const range = { key: encodeText(prefix), range_end: encodeRangeEnd(prefix) };
            const answer = await call("/v3/kv/range", range, rangeAnswerSchema);
            return answer.map(({ kvs, header }) => ({ entries: kvs.map(decodeEntry), revision: header.revision }));
        },
        async compareAndSwap(key, swap) {
            const answer = await call("/v3/kv/txn", createSwapRequest(key, swap), transactionAnswerSchema);
            return answer.map(decodeSwapAnswer);
        },
        async grantLease(timeToLiveMilliseconds) {
            const seconds = Math.ceil(timeToLiveMilliseconds / MILLISECONDS_PER_SECOND);
            const answer = await call("/v3/lease/grant", { TTL: String(seconds) }, grantAnswerSchema);
            return answer.map(({ ID }) => ({ lease: ID }));
        },
        async renewLease(lease) {
            const answer = await call("/v3/lease/keepalive", { ID: lease }, keepAliveAnswerSchema);
            return answer.andThen(({ result }) =>
                result.TTL === 0
                    ? Err({ kind: "rejected", message: `lease ${lease} has ended` })
                    : Ok({ timeToLiveMilliseconds: result.TTL * MILLISECONDS_PER_SECOND })
            );
        },
        async revokeLease(lease) {
            const answer = await call("/v3/lease/revoke", { ID: lease }, revokeAnswerSchema);
            return answer.map(() => undefined);
        },
        watch(prefix, onEvent, watchOptions = {}) {
            const abort = new AbortController();
            const origin = chooseUrl();
            const finished = runWatch({
                ...watchOptions,
                agent,
                origin,
                onBroken: reportBroken(origin),
                prefix,
                idleTimeoutMilliseconds: options.watchIdleTimeoutMilliseconds
                    ?? DEFAULT_WATCH_IDLE_TIMEOUT_MILLISECONDS,
                maximumMessageBytes: MAXIMUM_WATCH_MESSAGE_BYTES,
                onEvent: event => {
                    if (!abort.signal.aborted) {
                        onEvent(event);
                    }
                },
                signal: abort.signal,
            }).then(message => {
                watches.delete(watch);
                if (!abort.signal.aborted) {
                    urlIndex += 1;
                    onEvent({ type: "ended", message });
                }
            });
            const watch = {
                async close() {
                    abort.abort();
                    await finished;
                },
            };
            watches.add(watch);
            return watch;
        },
        async close() {
            await Promise.all([...watches].map(watch => watch.close()));
            await agent.destroy();
        },
    };
}
