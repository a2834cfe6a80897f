/**
 * Checks of what others have written by its schema, at a cost that does not follow from the number of its faults.
 *
 * @module
 */
import * as z from "zod";

/** Characters of a description; the names in a path may be as long as the document. */
const MAXIMUM_CHARACTERS = 500;

/** Lists and objects stop at their first faulty part. Zod passes this on, and names it in its internal types alone. */
const FIRST_FAULT: z.core.ParseContext<z.core.$ZodIssue> & { readonly abortEarly: true; } = { abortEarly: true };

/**
 * Checks a value by a schema, and stops at the first fault: a list of 1 MB may hold 500,000 faulty items, each of which
 * would become an issue of hundreds of bytes.
 *
 * @param schema The schema; its maps are those of {@linkcode mapOf}.
 * @param value The value, such as parsed JSON.
 * @returns What zod's `safeParse` returns, with the first issues only.
 *
 * @example
 * ```ts
 * const parsed = parseDocument(announcementSchema, parseJson(entry.value));
 * ```
 */
export function parseDocument<Schema extends z.ZodType>(
    schema: Schema,
    value: unknown,
): z.ZodSafeParseResult<z.output<Schema>> {
    return schema.safeParse(value, FIRST_FAULT);
}

/**
 * Describes what is wrong with a value, for a log line or an answer.
 *
 * @param error What {@linkcode parseDocument} has found.
 * @returns Up to 500 characters.
 *
 * @example
 * ```ts
 * logger.warn("announcement not readable", { detail: describeFault(parsed.error) });
 * ```
 */
export function describeFault(error: z.ZodError): string {
    const text = z.prettifyError(error);
    return text.length > MAXIMUM_CHARACTERS ? `${text.slice(0, MAXIMUM_CHARACTERS)}...` : text;
}
