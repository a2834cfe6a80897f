/**
 * Bodies of the JSON gateway of etcd v3, limited to those that this project uses.
 *
 * The gateway encodes 64-bit integers as decimal strings and keys and values in base64, and omits fields with a zero
 * value.
 *
 * @module
 */
import * as z from "zod";
import { type KeyValueEntry } from "./types.js";

const revisionSchema = z.union([z.string().regex(/^\d+$/), z.number().int()]).transform(Number);
const headerSchema = z.looseObject({ revision: revisionSchema });
const entrySchema = z.looseObject({
    key: z.base64(),
    value: z.base64().default(""),
    mod_revision: revisionSchema.default(0),
    lease: z.union([z.string(), z.number()]).transform(String).optional(),
});
type EncodedEntry = z.infer<typeof entrySchema>;

/** Schema of an answer to /v3/kv/range. */
export const rangeAnswerSchema = z.looseObject({ header: headerSchema, kvs: z.array(entrySchema).default([]) });

/** Schema of an answer to /v3/kv/txn. */
export const transactionAnswerSchema = z.looseObject({
    header: headerSchema,
    succeeded: z.boolean().default(false),
    responses: z.array(
        z.looseObject({ response_range: z.looseObject({ kvs: z.array(entrySchema).default([]) }).optional() }),
    )
        .default([]),
});

/** Schema of an answer to /v3/lease/grant. */
export const grantAnswerSchema = z.looseObject({ ID: z.string().min(1) });

/** Schema of an answer to /v3/lease/keepalive; `TTL` is missing or 0 where the lease has ended. */
export const keepAliveAnswerSchema = z.looseObject({ result: z.looseObject({ TTL: revisionSchema.default(0) }) });

/** Schema of an answer to /v3/lease/revoke. */
export const revokeAnswerSchema = z.looseObject({ header: headerSchema });

/** Schema of one message of a /v3/watch stream. */
export const watchMessageSchema = z.looseObject({
    result: z.looseObject({
        created: z.boolean().default(false),
        canceled: z.boolean().default(false),
        cancel_reason: z.string().default(""),
        events: z.array(z.looseObject({ type: z.enum(["PUT", "DELETE"]).default("PUT"), kv: entrySchema })).default([]),
    }),
});

/** Encodes a key or value in base64. */
export function encodeText(text: string): string {
    return Buffer.from(text, "utf8").toString("base64");
}

/** Decodes a key or value from base64. */
export function decodeText(encoded: string): string {
    return Buffer.from(encoded, "base64").toString("utf8");
}

/** Decodes a key with its value, revision and lease. */
export function decodeEntry(encoded: EncodedEntry): KeyValueEntry {
    return {
        key: decodeText(encoded.key),
        value: decodeText(encoded.value),
        revision: encoded.mod_revision,
        ...(encoded.lease === undefined ? {} : { lease: encoded.lease }),
    };
}

/** Returns the encoded `range_end` that selects all keys under a prefix; for an empty prefix, all keys. */
export function encodeRangeEnd(prefix: string): string {
    const bytes = Buffer.from(prefix, "utf8");
    const lastByte = bytes.at(-1);
    if (lastByte === undefined) {
        return encodeText("\0");
    }
    bytes[bytes.length - 1] = lastByte + 1;
    return bytes.toString("base64");
}
