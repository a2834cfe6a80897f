/**
 * Parser of JSON from other processes.
 *
 * @module
 */

/**
 * Parses JSON. Returns `undefined` for invalid JSON, which no schema of this project accepts.
 *
 * @param text The text to parse.
 *
 * @example
 * ```ts
 * const record = engineRecordSchema.safeParse(parseJson(entry.value));
 * ```
 */
export function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
