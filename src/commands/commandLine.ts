/**
 * Registers the commands and runs the one named on the command line.
 *
 * @module
 */
import { Builtins, Cli, UsageError } from "clipanion";
import { ApplyCommand } from "./apply.js";
import { CheckCommand } from "./check.js";
import { type CommandContext } from "./context.js";
import { DrainCommand } from "./drain.js";
import { EXIT_CODES } from "./exitCodes.js";
import { ExplainCommand } from "./explain.js";
import { RunCommand } from "./run.js";
import { ShowCommand } from "./show.js";
import { StatusCommand } from "./status.js";

const COMMANDS = [
    RunCommand,
    CheckCommand,
    ApplyCommand,
    ShowCommand,
    StatusCommand,
    DrainCommand,
    ExplainCommand,
    Builtins.HelpCommand,
    Builtins.VersionCommand,
];

function createCli(version: string, enableColors: boolean): Cli<CommandContext> {
    const cli = new Cli<CommandContext>({
        binaryLabel: "flamingospread",
        binaryName: "flamingospread",
        binaryVersion: version,
        enableColors,
    });
    COMMANDS.forEach(command => cli.register(command));
    return cli;
}

function isUsageError(error: unknown): boolean {
    return error instanceof UsageError || (error instanceof Error && error.name.includes("Syntax"));
}

/**
 * Runs one command.
 *
 * @param commandArguments Arguments after the program's name.
 * @param context Resources of the process that commands use.
 * @param options `version` is what `--version` prints.
 * @returns The exit code of the process.
 *
 * @example
 * ```ts
 * process.exitCode = await runCommandLine(["check", "examples/sakan.jsonc"], context);
 * ```
 */
export async function runCommandLine(
    commandArguments: readonly string[],
    context: CommandContext,
    options: { readonly version?: string; } = {},
): Promise<number> {
    const cli = createCli(options.version ?? "unknown", context.colorDepth > 1);
    try {
        const command = cli.process([...commandArguments], context);
        return await cli.run(command, context);
    }
    catch (error) {
        context.stderr.write(cli.error(error));
        return isUsageError(error) ? EXIT_CODES.usage : EXIT_CODES.failed;
    }
}
