/**
 * Schema of maps by name.
 *
 * @module
 */
import * as z from "zod";
import { parseDocument } from "./parseDocument.js";

/**
 * Creates the schema of a map by name whose check stops at the first faulty value; that of `z.record` does not.
 *
 * @param valueSchema The schema of the values.
 *
 * @example
 * ```ts
 * const countsSchema = mapOf(z.number());
 * ```
 */
export function mapOf<Schema extends z.ZodType>(
    valueSchema: Schema,
): z.ZodType<Record<string, z.output<Schema>>, Record<string, unknown>> {
    return z.record(z.string(), z.unknown()).transform((values, context) => {
        const checked: Record<string, z.output<Schema>> = {};
        for (const [name, value] of Object.entries(values)) {
            const parsed = parseDocument(valueSchema, value);
            if (!parsed.success) {
                const issues = parsed.error.issues.map(issue => ({ ...issue, path: [name, ...issue.path] }));
                context.issues.push(...issues as z.core.$ZodRawIssue[]);
                return z.NEVER;
            }
            checked[name] = parsed.data;
        }
        return checked;
    });
}
