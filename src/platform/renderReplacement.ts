/**
 * Text that replaces a record in the key-value service, which a host of another build may have written.
 *
 * @module
 */
import { type z } from "zod";
import { parseDocument } from "./parseDocument.js";
import { parseJson } from "./parseJson.js";

/**
 * Returns the text of a record that replaces a stored one, with the stored fields that the schema does not know.
 *
 * @param schema The schema by which this build reads the record.
 * @param record The record to write.
 * @param stored The text that is stored; `undefined` for none.
 * @returns The text; `undefined` where a record is stored that this build cannot read, which must not be overwritten.
 *
 * @example
 * ```ts
 * renderReplacement(settledRestoresSchema, { restores: 2 }, '{"restores":1,"later":true}');
 * // '{"restores":2,"later":true}'
 * ```
 */
export function renderReplacement<Schema extends z.ZodType>(
    schema: Schema,
    record: z.infer<Schema>,
    stored: string | undefined,
): string | undefined {
    const fields = stored === undefined ? undefined : parseJson(stored);
    if (typeof fields !== "object" || fields === null || Array.isArray(fields)) {
        return JSON.stringify(record);
    }
    return parseDocument(schema, fields).success ? JSON.stringify({ ...fields, ...record as object }) : undefined;
}
