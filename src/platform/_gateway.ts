/**
 * Bodies of the published JSON gateway form of etcd v3, as far as this project uses them.
 *
 * Integers of 64 bits travel as decimal text, keys and values in base64, and members with a zero value are left out.
 *
 * @module
 */
import * as z from "zod";
import { type KeyValueEntry } from "./types.js";

const revisionSchema = z.union([z.string().regex(/^\d+$/), z.number().int()]).transform(Number);
const headerSchema = z.looseObject({ revision: revisionSchema });
const keySchema = z.looseObject({
    key: z.base64(),
    value: z.base64().default(""),
    mod_revision: revisionSchema.default(0),
    lease: z.union([z.string(), z.number()]).transform(String).optional(),
});
type EncodedKey = z.infer<typeof keySchema>;

/** Validates: An answer to /v3/kv/range. */
export const rangeAnswerSchema = z.looseObject({ header: headerSchema, kvs: z.array(keySchema).default([]) });

/** Validates: An answer to /v3/kv/txn. */
export const transactionAnswerSchema = z.looseObject({
    header: headerSchema,
    succeeded: z.boolean().default(false),
    responses: z.array(
        z.looseObject({ response_range: z.looseObject({ kvs: z.array(keySchema).default([]) }).optional() }),
    )
        .default([]),
});

/** Validates: An answer to /v3/lease/grant. */
export const grantAnswerSchema = z.looseObject({ ID: z.string().min(1) });

/** Validates: An answer to /v3/lease/keepalive; no time stands for an ended lease. */
export const keepAliveAnswerSchema = z.looseObject({ result: z.looseObject({ TTL: revisionSchema.default(0) }) });

/** Validates: An answer to /v3/lease/revoke. */
export const revokeAnswerSchema = z.looseObject({ header: headerSchema });

/** Validates: One message of /v3/watch. */
export const watchMessageSchema = z.looseObject({
    result: z.looseObject({
        created: z.boolean().default(false),
        canceled: z.boolean().default(false),
        cancel_reason: z.string().default(""),
        events: z.array(z.looseObject({ type: z.enum(["PUT", "DELETE"]).default("PUT"), kv: keySchema })).default([]),
    }),
});

/** Encodes a key or value. */
export function encodeText(text: string): string {
    return Buffer.from(text, "utf8").toString("base64");
}

/** Decodes a key or value. */
export function decodeText(encoded: string): string {
    return Buffer.from(encoded, "base64").toString("utf8");
}

/** Decodes an entry. */
export function decodeEntry(encoded: EncodedKey): KeyValueEntry {
    return {
        key: decodeText(encoded.key),
        value: decodeText(encoded.value),
        revision: encoded.mod_revision,
        ...(encoded.lease === undefined ? {} : { lease: encoded.lease }),
    };
}

/** Gives the encoded key that ends the range of all keys under a prefix; the whole range for an empty prefix. */
export function encodeRangeEnd(prefix: string): string {
    const bytes = Buffer.from(prefix, "utf8");
    const last = bytes.at(-1);
    if (last === undefined) {
        return encodeText("\0");
    }
    bytes[bytes.length - 1] = last + 1;
    return bytes.toString("base64");
}
