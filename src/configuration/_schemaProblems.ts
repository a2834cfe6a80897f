/**
 * Converts the issues that a schema reports into problems with positions.
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
    const [part, ...remainingPath] = path;
    const unwrapped = unwrap(schema);
    if (part === undefined) {
        return unwrapped;
    }
    if (unwrapped instanceof z.ZodArray) {
        return schemaAt(unwrapped.def.element, remainingPath);
    }
    const shape = unwrapped instanceof z.ZodObject ? unwrapped.def.shape as Record<string, z.core.$ZodType> : {};
    const propertySchema = shape[part];
    return propertySchema === undefined ? undefined : schemaAt(propertySchema, remainingPath);
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

function describeBound(issue: Extract<Issue, { code: "too_small" | "too_big"; }>): string {
    const unit = issue.origin === "array" ? " items" : issue.origin === "string" ? " characters" : "";
    if (issue.code === "too_small") {
        return `${issue.inclusive === false ? "more than" : "at least"} ${issue.minimum}${unit}`;
    }
    return `${issue.inclusive === false ? "less than" : "at most"} ${issue.maximum}${unit}`;
}

function problemsOf(issue: Issue, schema: z.core.$ZodType, document: TextDocument): TextProblem[] {
    const path = issue.path.map(part => typeof part === "symbol" ? part.toString() : part);
    const expectedSchema = schemaAt(schema, path);
    switch (issue.code) {
        case "unrecognized_keys":
            return issue.keys.map(key =>
                document.problemAtKey([...path, key], { message: "Unknown key", allowed: describeKeys(expectedSchema) })
            );
        case "invalid_type": {
            const problem = document.problemAt(path, {
                message: "The value has the wrong type",
                allowed: describeType(expectedSchema, issue.expected),
            });
            return [problem.value === undefined ? { ...problem, message: "A required key is missing" } : problem];
        }
        case "invalid_value":
            return [
                document.problemAt(path, {
                    message: "The value is not one of the allowed values",
                    allowed: quote(issue.values),
                }),
            ];
        case "too_small":
        case "too_big":
            return [document.problemAt(path, { message: "The value is out of bounds", allowed: describeBound(issue) })];
        case "invalid_format":
            return [document.problemAt(path, {
                message: "The string does not match its pattern",
                allowed: `a string that matches ${issue.pattern ?? issue.format}`,
            })];
        default:
            return [document.problemAt(path, { message: issue.message, allowed: "a value that matches the schema" })];
    }
}

/**
 * Returns the problems that a schema finds, each with its position in the document.
 *
 * @param issues The issues that the schema reported.
 * @param schema The schema, from which allowed values are described.
 * @param document The parsed document.
 */
export function schemaProblems(
    issues: readonly Issue[],
    schema: z.core.$ZodType,
    document: TextDocument,
): TextProblem[] {
    return issues.flatMap(issue => problemsOf(issue, schema, document));
}
