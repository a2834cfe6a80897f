/**
 * Parses and checks the operators' configuration and a host's settings.
 *
 * @module
 */
import { Err, Ok, type Result } from "ts-results-es";
import type * as z from "zod";
import { type Deployment, deploymentSchema } from "../generated/deployment.js";
import { type Settings, settingsSchema } from "../generated/settings.js";
import { parseDocument } from "../platform/parseDocument.js";
import { capacityProblems } from "./_capacity.js";
import { TextDocument } from "./_document.js";
import { cycleProblems, duplicateProblems, referenceProblems } from "./_references.js";
import { schemaProblems } from "./_schemaProblems.js";
import { settingsProblems } from "./_settings.js";
import { type TextProblem } from "./problems.js";

/** Options of the parsers. */
export interface ParseOptions {
    /** Name of the parsed file, included in each problem. */
    readonly fileName: string;
}

/** Of a longer text the first fault alone is reported: each takes hundreds of times the memory of its text. */
const MAXIMUM_LISTED_CHARACTERS = 64 * 1024;

type Outcome<Value> = Result<Value, readonly TextProblem[]>;
type Check<Value> = (document: TextDocument, value: Value) => readonly TextProblem[];

function byPosition(left: TextProblem, right: TextProblem): number {
    return left.line - right.line || left.column - right.column;
}

/** Runs the checks in order and stops at the first that finds problems, because later ones rely on earlier ones. */
function parse<Value>(
    text: string,
    options: ParseOptions,
    schema: z.ZodType<Value>,
    checks: readonly Check<Value>[],
): Outcome<Value> {
    const document = new TextDocument(text, options.fileName);
    const syntaxProblems = document.syntaxProblems();
    if (syntaxProblems.length > 0) {
        return new Err(syntaxProblems);
    }
    const value = document.value();
    const listsAllFaults = text.length <= MAXIMUM_LISTED_CHARACTERS;
    const parsed = listsAllFaults ? schema.safeParse(value) : parseDocument(schema, value);
    if (!parsed.success) {
        return new Err(schemaProblems(parsed.error.issues, schema, document).sort(byPosition));
    }
    for (const check of checks) {
        const problems = check(document, parsed.data);
        if (problems.length > 0) {
            return new Err([...problems].sort(byPosition));
        }
    }
    return new Ok(parsed.data);
}

/**
 * Parses and checks the operators' configuration.
 *
 * @param text JSON with comments.
 * @param options Name of the file, included in problems.
 * @returns The deployment with defaults filled in, or every problem found by the first check that found any.
 *
 * @example
 * ```ts
 * const outcome = parseDeployment(text, { fileName: "sakan.jsonc" });
 * if (outcome.isErr()) {
 *     console.error(formatProblems(outcome.error));
 * }
 * ```
 */
export function parseDeployment(text: string, options: ParseOptions): Outcome<Deployment> {
    const checkNames: Check<Deployment> = (document, deployment) => [
        ...duplicateProblems(document, deployment),
        ...referenceProblems(document, deployment),
        ...cycleProblems(document, deployment),
    ];
    return parse(text, options, deploymentSchema, [checkNames, capacityProblems]);
}

/**
 * Parses and checks the settings of one host.
 *
 * @param text JSON with comments.
 * @param options Name of the file, included in problems.
 * @returns The settings with defaults filled in, or every problem found by the first check that found any.
 *
 * @example
 * ```ts
 * const settings = parseSettings(text, { fileName: "host.jsonc" });
 * ```
 */
export function parseSettings(text: string, options: ParseOptions): Outcome<Settings> {
    return parse(text, options, settingsSchema, [settingsProblems]);
}
