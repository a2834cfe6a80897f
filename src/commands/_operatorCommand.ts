/**
 * Base class and helpers of all commands: output as text or JSON, reading files, and outcomes of failures.
 *
 * @module
 */
import { Command, Option } from "clipanion";
import { readFile } from "node:fs/promises";
import { Err, Ok, type Result } from "ts-results-es";
import { checkBaseUrl, formatProblems, parseSettings, type TextProblem } from "../configuration/index.js";
import { type Settings } from "../generated/settings.js";
import { type CommandContext } from "./context.js";
import { EXIT_CODES, type ExitCode } from "./exitCodes.js";

/** Result of a command. */
export interface CommandOutcome {
    readonly exitCode: ExitCode;
    /** Printed with `--json`. */
    readonly data: Readonly<Record<string, unknown>>;
    /** Printed without `--json`. */
    readonly text: string;
}

/** A command that an operator runs. */
export abstract class OperatorCommand extends Command<CommandContext> {
    json = Option.Boolean("--json", false, { description: "Print one JSON object instead of text." });

    /** Executes the command and returns its outcome. */
    protected abstract perform(): Promise<CommandOutcome>;

    override async execute(): Promise<ExitCode> {
        const outcome = await this.perform();
        const stream = outcome.exitCode === EXIT_CODES.ok || this.json ? this.context.stdout : this.context.stderr;
        stream.write(this.json ? `${JSON.stringify(outcome.data)}\n` : `${outcome.text}\n`);
        return outcome.exitCode;
    }
}

/**
 * Reads a file named on the command line.
 *
 * @param path Path of the file.
 */
export async function readTextFile(path: string): Promise<Result<string, CommandOutcome>> {
    try {
        return new Ok(await readFile(path, "utf8"));
    }
    catch (error) {
        const message = error instanceof Error ? error.message : String(error);
        return new Err(
            createFailure(EXIT_CODES.usage, "unreadable-file", `The file ${path} cannot be read: ${message}`),
        );
    }
}

/**
 * Reads and checks settings.
 *
 * @param path Path of the settings.
 */
export async function readSettings(path: string): Promise<Result<Settings, CommandOutcome>> {
    const text = await readTextFile(path);
    return text.andThen(content => parseSettings(content, { fileName: path }).mapErr(createInvalidTextOutcome));
}

/**
 * Creates the outcome for an invalid configuration or settings file.
 *
 * @param problems The problems found in it.
 */
export function createInvalidTextOutcome(problems: readonly TextProblem[]): CommandOutcome {
    return {
        exitCode: EXIT_CODES.invalidText,
        data: { ok: false, reason: "invalid", problems },
        text: formatProblems(problems),
    };
}

/**
 * Creates the outcome of a command that failed.
 *
 * @param exitCode The exit code.
 * @param reason Machine-readable reason, for `--json`.
 * @param message Human-readable message.
 */
export function createFailure(exitCode: ExitCode, reason: string, message: string): CommandOutcome {
    return { exitCode, data: { ok: false, reason, message }, text: message };
}

/**
 * Returns the usage failure for an invalid URL on the command line; `undefined` for a valid one.
 *
 * @param url The URL.
 */
export function checkUrlOption(url: string): CommandOutcome | undefined {
    const problem = checkBaseUrl(url);
    return problem === undefined
        ? undefined
        : createFailure(
            EXIT_CODES.usage,
            "invalid-url",
            `${problem.message} (found ${url}); allowed: ${problem.allowed}`,
        );
}
