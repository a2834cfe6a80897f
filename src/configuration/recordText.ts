/**
 * Encodes the operators' configuration for its record; long ones are compressed.
 *
 * @module
 */
import { gunzipSync, gzipSync } from "node:zlib";
import { Err, Ok, type Result } from "ts-results-es";
import { type ConfigurationRecord } from "../generated/platform.js";

const MAXIMUM_PLAIN_TEXT_CHARACTERS = 32_768;
const MAXIMUM_TEXT_BYTES = 16_777_216;

/**
 * Encodes a configuration for its record.
 *
 * @param text The operators' configuration.
 *
 * @example
 * ```ts
 * const record = { ...rest, ...encodeRecordText(text) };
 * ```
 */
export function encodeRecordText(text: string): Pick<ConfigurationRecord, "text" | "encoding"> {
    return text.length <= MAXIMUM_PLAIN_TEXT_CHARACTERS
        ? { text }
        : { text: gzipSync(text).toString("base64"), encoding: "gzip-base64" };
}

/**
 * Decodes the configuration in a record.
 *
 * @param record The record.
 * @returns The operators' configuration, or why it cannot be decoded.
 *
 * @example
 * ```ts
 * const text = decodeRecordText(record).unwrapOr("");
 * ```
 */
export function decodeRecordText(record: Pick<ConfigurationRecord, "text" | "encoding">): Result<string, string> {
    if (record.encoding !== "gzip-base64") {
        return new Ok(record.text);
    }
    try {
        const bytes = gunzipSync(Buffer.from(record.text, "base64"), { maxOutputLength: MAXIMUM_TEXT_BYTES });
        return new Ok(bytes.toString("utf8"));
    }
    catch (error) {
        return new Err(`The text of the record cannot be decompressed: ${String(error)}`);
    }
}
