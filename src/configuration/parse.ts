/**
 * Reads the operators' text and a host's settings.
 *
 * @module
 */
import { Err, Ok, type Result } from "ts-results-es";
import type * as z from "zod";
import { type Deployment, deploymentSchema } from "../generated/deployment.js";
import { type Settings, settingsSchema } from "../generated/settings.js";
import { capacityProblems } from "./_capacity.js";
import { TextDocument } from "./_document.js";
import { cycleProblems, duplicateProblems, referenceProblems } from "./_references.js";
import { schemaProblems } from "./_schemaProblems.js";
import { settingsProblems } from "./_settings.js";
import { type TextProblem } from "./problems.js";

/** Options of the parsers. */
export interface ParseOptions {
    /** Stands in each problem. */
    readonly fileName: string;
}

type Outcome<Value> = Result<Value, readonly TextProblem[]>;
type Check<Value> = (document: TextDocument, value: Value) => readonly TextProblem[];

function byPlace(left: TextProblem, right: TextProblem): number {
    return left.line - right.line || left.column - right.column;
}

/** Runs the checks in order, and stops behind the first that finds something, because later ones build on it. */
function parse<Value>(
    text: string,
    options: ParseOptions,
    schema: z.ZodType<Value>,
    checks: readonly Check<Value>[],
): Outcome<Value> {
    const document = new TextDocument(text, options.fileName);
    const broken = document.syntaxProblems();
    if (broken.length > 0) {
        return new Err(broken);
    }
    const parsed = schema.safeParse(document.value());
    if (!parsed.success) {
        return new Err(schemaProblems(parsed.error.issues, schema, document).sort(byPlace));
    }
    for (const check of checks) {
        const problems = check(document, parsed.data);
        if (problems.length > 0) {
            return new Err([...problems].sort(byPlace));
        }
    }
    return new Ok(parsed.data);
}

/**
 * Reads and checks the operators' text.
 *
 * @param text JSON with comments.
 * @param options Name of the file, for problems.
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
    const named: Check<Deployment> = (document, deployment) => [
        ...duplicateProblems(document, deployment),
        ...referenceProblems(document, deployment),
        ...cycleProblems(document, deployment),
    ];
    return parse(text, options, deploymentSchema, [named, capacityProblems]);
}

/**
 * Reads and checks the settings of one host.
 *
 * @param text JSON with comments.
 * @param options Name of the file, for problems.
 * @returns The settings with defaults filled in, or the problems.
 *
 * @example
 * ```ts
 * const settings = parseSettings(text, { fileName: "host.jsonc" });
 * ```
 */
export function parseSettings(text: string, options: ParseOptions): Outcome<Settings> {
    return parse(text, options, settingsSchema, [settingsProblems]);
}
