/**
 * Problems in a file that an operator wrote, each with its position.
 *
 * @module
 */

/** One reason why a file is rejected. */
export interface TextProblem {
    readonly fileName: string;
    /** Counts from 1. */
    readonly line: number;
    /** Counts from 1. */
    readonly column: number;
    /** Path of the value, such as `pools[0].engines[2].zone`; empty for the whole file. */
    readonly path: string;
    /** The offending value as JSON, shortened; missing where a value is missing. */
    readonly value?: string;
    readonly message: string;
    /** What would be accepted instead. */
    readonly allowed: string;
}

/**
 * Renders problems for a terminal, one per line.
 *
 * @param problems The problems, in the order of the file.
 * @returns Lines of the form `file:line:column: path: message (found value); allowed: ...`.
 *
 * @example
 * ```ts
 * console.error(formatProblems(problems));
 * ```
 */
export function formatProblems(problems: readonly TextProblem[]): string {
    return problems.map(formatProblem).join("\n");
}

function formatProblem(problem: TextProblem): string {
    const position = `${problem.fileName}:${problem.line}:${problem.column}`;
    const path = problem.path === "" ? "" : ` ${problem.path}:`;
    const found = problem.value === undefined ? "" : ` (found ${problem.value})`;
    return `${position}:${path} ${problem.message}${found}; allowed: ${problem.allowed}`;
}
