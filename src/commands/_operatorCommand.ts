/**
 * What all commands share: output for people or programs, and reading files.
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

/** What a command ends with. */
export interface CommandOutcome {
    readonly exitCode: ExitCode;
    /** For `--json`. */
    readonly data: Readonly<Record<string, unknown>>;
    /** For people. */
    readonly text: string;
}

/** A command that an operator runs. */
export abstract class OperatorCommand extends Command<CommandContext> {
    json = Option.Boolean("--json", false, { description: "Print one JSON object instead of text." });

    /** Does the work. */
    protected abstract perform(): Promise<CommandOutcome>;

    override async execute(): Promise<ExitCode> {
        const outcome = await this.perform();
        const stream = outcome.exitCode === EXIT_CODES.ok || this.json ? this.context.stdout : this.context.stderr;
        stream.write(this.json ? `${JSON.stringify(outcome.data)}\n` : `${outcome.text}\n`);
        return outcome.exitCode;
    }
}

/**
 * Reads a file that the operator named.
 *
 * @param path Path of the file.
 */
export async function readTextFile(path: string): Promise<Result<string, CommandOutcome>> {
    try {
        return new Ok(await readFile(path, "utf8"));
    }
    catch (error) {
        const message = error instanceof Error ? error.message : String(error);
        return new Err(fail(EXIT_CODES.usage, "unreadable-file", `The file ${path} cannot be read: ${message}`));
    }
}

/**
 * Reads and checks settings.
 *
 * @param path Path of the settings.
 */
export async function readSettings(path: string): Promise<Result<Settings, CommandOutcome>> {
    const text = await readTextFile(path);
    return text.andThen(content => parseSettings(content, { fileName: path }).mapErr(refuseText));
}

/**
 * Makes the outcome of a refused text.
 *
 * @param problems Why it is refused.
 */
export function refuseText(problems: readonly TextProblem[]): CommandOutcome {
    return {
        exitCode: EXIT_CODES.invalidText,
        data: { ok: false, reason: "invalid", problems },
        text: formatProblems(problems),
    };
}

/**
 * Makes the outcome of a command that failed.
 *
 * @param exitCode The exit code.
 * @param reason A word for programs.
 * @param message A sentence for people.
 */
export function fail(exitCode: ExitCode, reason: string, message: string): CommandOutcome {
    return { exitCode, data: { ok: false, reason, message }, text: message };
}

/**
 * Checks a URL given on the command line.
 *
 * @param url The URL.
 */
export function checkUrlOption(url: string): CommandOutcome | undefined {
    const problem = checkBaseUrl(url);
    return problem === undefined
        ? undefined
        : fail(EXIT_CODES.usage, "invalid-url", `${problem.message} (found ${url}); allowed: ${problem.allowed}`);
}
