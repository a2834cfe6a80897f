/**
 * Parses JSON from outside.
 *
 * @module
 */

/**
 * Parses JSON; text that is none gives `undefined`, which no schema of this project accepts.
 *
 * @param text The text.
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
