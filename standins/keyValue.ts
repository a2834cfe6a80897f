/**
 * Stand-in of the platform's key-value service. Implements the published JSON gateway protocol of etcd v3.
 *
 * @module
 */
import { z } from "zod";
import { isInRange, KeyValueStore, type StoredChange, type StoredKey } from "./_keyValueStore.js";
import { runAsProcess } from "./_process.js";
import {
    json,
    type StandIn,
    type StandInAnswer,
    type StandInRequest,
    startServer,
    type StreamWriter,
} from "./_server.js";

const NOT_FOUND_CODE = 5;
const PROGRESS_MILLISECONDS = 500;

/** Validates the options of a key-value service. */
export const keyValueOptionsSchema = z.object({
    port: z.number().default(0),
    /** Interval of the progress messages that keep an idle watch alive. */
    progressMilliseconds: z.number().positive().default(PROGRESS_MILLISECONDS),
}).strict();
/** Options of a key-value service. */
export type KeyValueOptions = z.input<typeof keyValueOptionsSchema>;

/** State of a key-value service. */
export interface KeyValueState {
    readonly revision: number;
    /** Number of calls by path. */
    readonly calls: Readonly<Record<string, number>>;
    readonly openWatches: number;
    readonly values: Readonly<Record<string, string>>;
}

const identifierSchema = z.union([z.string(), z.number()]).transform(String);
const rangeSchema = z.object({ key: z.string(), range_end: z.string().default("") });
const putSchema = z.object({ key: z.string(), value: z.string().default(""), lease: identifierSchema.default("0") });
const operationSchema = z.object({
    request_put: putSchema.optional(),
    request_range: rangeSchema.optional(),
    request_delete_range: z.object({ key: z.string() }).optional(),
});
const transactionSchema = z.object({
    compare: z.array(z.object({
        key: z.string(),
        target: z.literal("MOD"),
        result: z.literal("EQUAL"),
        mod_revision: z.union([z.string(), z.number()]).transform(Number).default(0),
    })).default([]),
    success: z.array(operationSchema).default([]),
    failure: z.array(operationSchema).default([]),
});
const grantSchema = z.object({ TTL: z.union([z.string(), z.number()]).transform(Number) });
const leaseSchema = z.object({ ID: identifierSchema });
const watchSchema = z.object({
    create_request: rangeSchema.extend({
        start_revision: z.union([z.string(), z.number()]).transform(Number).default(0),
    }),
});

function decode(text: string): string {
    return Buffer.from(text, "base64").toString("utf8");
}

function encode(text: string): string {
    return Buffer.from(text, "utf8").toString("base64");
}

function encodeKey(stored: StoredKey): Record<string, string> {
    const encoded = {
        key: encode(stored.key),
        create_revision: String(stored.createRevision),
        mod_revision: String(stored.modRevision),
        version: String(stored.version),
        value: encode(stored.value),
    };
    return stored.lease === "0" ? encoded : { ...encoded, lease: stored.lease };
}

function encodeChange(change: StoredChange): Record<string, unknown> {
    return change.stored === undefined
        ? { type: "DELETE", kv: { key: encode(change.key), mod_revision: String(change.revision) } }
        : { kv: encodeKey(change.stored) };
}

/**
 * Starts a key-value service that keeps its keys in memory.
 *
 * @param input Port and interval of progress messages on a watch.
 *
 * @example
 * ```ts
 * const keyValue = await startKeyValueStandIn();
 * await keyValue.close();
 * ```
 */
export async function startKeyValueStandIn(input: KeyValueOptions = {}): Promise<StandIn<KeyValueState>> {
    const options = keyValueOptionsSchema.parse(input);
    const store = new KeyValueStore();
    const calls = new Map<string, number>();
    let openWatches = 0;

    function header(): Record<string, string> {
        return { cluster_id: "1", member_id: "1", revision: String(store.revision), raft_term: "1" };
    }

    function range(request: z.infer<typeof rangeSchema>): Record<string, unknown> {
        const keysInRange = store.range(decode(request.key), decode(request.range_end));
        return keysInRange.length === 0
            ? { header: header() }
            : { header: header(), kvs: keysInRange.map(encodeKey), count: String(keysInRange.length) };
    }

    function applyOperation(operation: z.infer<typeof operationSchema>): Record<string, unknown> | undefined {
        if (operation.request_put !== undefined) {
            const { key, value, lease } = operation.request_put;
            return store.put(decode(key), decode(value), lease) ? { response_put: { header: header() } } : undefined;
        }
        if (operation.request_delete_range !== undefined) {
            store.delete(decode(operation.request_delete_range.key));
            return { response_delete_range: { header: header() } };
        }
        return operation.request_range === undefined ? {} : { response_range: range(operation.request_range) };
    }

    function transaction(body: unknown): StandInAnswer {
        const { compare, success, failure } = transactionSchema.parse(body);
        const isSuccess = compare.every(({ key, mod_revision }) => store.modRevisionOf(decode(key)) === mod_revision);
        const responses = (isSuccess ? success : failure).map(applyOperation);
        if (responses.includes(undefined)) {
            return json(404, { error: "requested lease not found", code: NOT_FOUND_CODE });
        }
        return json(200, { header: header(), ...(isSuccess ? { succeeded: true } : {}), responses });
    }

    async function streamWatch(request: z.infer<typeof watchSchema>["create_request"], writer: StreamWriter) {
        const start = decode(request.key);
        const end = decode(request.range_end);
        const write = (result: unknown) => writer.write(`${JSON.stringify({ result })}\n`);
        const send = (change: StoredChange) => {
            if (isInRange(change.key, start, end)) {
                void write({ header: header(), events: [encodeChange(change)] });
            }
        };
        openWatches += 1;
        void write({ header: header(), created: true });
        if (request.start_revision > 0) {
            store.history.filter(({ revision }) => revision >= request.start_revision).forEach(send);
        }
        const unsubscribe = store.subscribe(send);
        const progress = setInterval(() => void write({ header: header() }), options.progressMilliseconds);
        await new Promise<void>(resolve => {
            writer.onEnded(resolve);
        });
        clearInterval(progress);
        unsubscribe();
        openWatches -= 1;
    }

    function answerCall(path: string, body: unknown): StandInAnswer {
        switch (path) {
            case "/v3/kv/range":
                return json(200, range(rangeSchema.parse(body)));
            case "/v3/kv/txn":
                return transaction(body);
            case "/v3/lease/grant": {
                const { TTL } = grantSchema.parse(body);
                return json(200, { header: header(), ID: store.grant(TTL), TTL: String(TTL) });
            }
            case "/v3/lease/keepalive": {
                const { ID } = leaseSchema.parse(body);
                const seconds = store.keepAlive(ID);
                return json(200, {
                    result: { header: header(), ID, ...(seconds > 0 ? { TTL: String(seconds) } : {}) },
                });
            }
            case "/v3/lease/revoke":
                return store.revoke(leaseSchema.parse(body).ID)
                    ? json(200, { header: header() })
                    : json(404, { error: "requested lease not found", code: NOT_FOUND_CODE });
            case "/v3/watch": {
                const { create_request: request } = watchSchema.parse(body);
                return { type: "stream", contentType: "application/json", run: writer => streamWatch(request, writer) };
            }
            default:
                return json(404, { error: "Not Found" });
        }
    }

    function handle(request: StandInRequest): StandInAnswer {
        calls.set(request.path, (calls.get(request.path) ?? 0) + 1);
        try {
            return answerCall(request.path, JSON.parse(request.body));
        }
        catch (error) {
            return json(400, { error: String(error) });
        }
    }

    return startServer({
        port: options.port,
        handle,
        state: () => ({
            revision: store.revision,
            calls: Object.fromEntries(calls),
            openWatches,
            values: Object.fromEntries(store.range("\0", "\0").map(({ key, value }) => [key, value])),
        }),
        restart: () => {
            store.clear();
        },
        setLeaving: () => undefined,
        close: () => {
            store.close();
        },
    });
}

await runAsProcess(import.meta.url, keyValueOptionsSchema, startKeyValueStandIn);
