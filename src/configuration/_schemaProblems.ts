/**
 * Turns what a schema finds in a text into problems with their places.
 *
 * @module
 */
import * as z from "zod";
import { type TextDocument, type TextPath } from "./_document.js";
import { type TextProblem } from "./problems.js";

type Issue = z.core.$ZodIssue;

function unwrap(schema: z.core.$ZodType): z.core.$ZodType {
    const wrapped = schema instanceof z.ZodDefault || schema instanceof z.ZodPrefault
        || schema instanceof z.ZodOptional;
    return wrapped ? unwrap(schema.def.innerType) : schema;
}

function schemaAt(schema: z.core.$ZodType, path: TextPath): z.core.$ZodType | undefined {
    const [part, ...rest] = path;
    const plain = unwrap(schema);
    if (part === undefined) {
        return plain;
    }
    if (plain instanceof z.ZodArray) {
        return schemaAt(plain.def.element, rest);
    }
    const shape = plain instanceof z.ZodObject ? plain.def.shape as Record<string, z.core.$ZodType> : {};
    const inner = shape[part];
    return inner === undefined ? undefined : schemaAt(inner, rest);
}

function quote(values: readonly unknown[]): string {
    return values.map(value => JSON.stringify(value)).join(", ");
}

function describeKeys(schema: z.core.$ZodType | undefined): string {
    return schema instanceof z.ZodObject ? `the keys ${quote(Object.keys(schema.def.shape))}` : "no such key";
}

function describeType(schema: z.core.$ZodType | undefined, expected: string): string {
    if (schema instanceof z.ZodEnum) {
        return quote(schema.options);
    }
    return `a value of type ${expected}`;
}

function bound(issue: Extract<Issue, { code: "too_small" | "too_big"; }>): string {
    const unit = issue.origin === "array" ? " items" : issue.origin === "string" ? " characters" : "";
    if (issue.code === "too_small") {
        return `${issue.inclusive === false ? "more than" : "at least"} ${issue.minimum}${unit}`;
    }
    return `${issue.inclusive === false ? "less than" : "at most"} ${issue.maximum}${unit}`;
}

function problemsOf(issue: Issue, schema: z.core.$ZodType, document: TextDocument): TextProblem[] {
    const path = issue.path.map(part => typeof part === "symbol" ? part.toString() : part);
    const place = schemaAt(schema, path);
    switch (issue.code) {
        case "unrecognized_keys":
            return issue.keys.map(key =>
                document.problemAtKey([...path, key], { message: "Unknown key", allowed: describeKeys(place) })
            );
        case "invalid_type": {
            const problem = document.problemAt(path, {
                message: "The value has the wrong type",
                allowed: describeType(place, issue.expected),
            });
            return [problem.value === undefined ? { ...problem, message: "A required key is missing" } : problem];
        }
        case "invalid_value":
            return [
                document.problemAt(path, { message: "The value is not one of the list", allowed: quote(issue.values) }),
            ];
        case "too_small":
        case "too_big":
            return [document.problemAt(path, { message: "The value is out of bounds", allowed: bound(issue) })];
        case "invalid_format":
            return [document.problemAt(path, {
                message: "The text has the wrong form",
                allowed: `text that matches ${issue.pattern ?? issue.format}`,
            })];
        default:
            return [document.problemAt(path, { message: issue.message, allowed: "what the schema describes" })];
    }
}

/**
 * Gives the problems that a schema finds, each at its place in the text.
 *
 * @param issues What the schema found.
 * @param schema The schema, to tell what is allowed.
 * @param document The text.
 */
export function schemaProblems(
    issues: readonly Issue[],
    schema: z.core.$ZodType,
    document: TextDocument,
): TextProblem[] {
    return issues.flatMap(issue => problemsOf(issue, schema, document));
}
