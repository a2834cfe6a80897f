/**
 * The command line: run, check, apply, show, status and drain.
 *
 * Use it from a program that provides the streams, signals and clocks of the process, and starts hosts.
 *
 * @example
 * ```ts
 * import { runCommandLine } from "./index.js";
 *
 * process.exitCode = await runCommandLine(process.argv.slice(2), context);
 * ```
 *
 * @module
 */
export { runCommandLine } from "./commandLine.js";
export { type CommandContext, type RunningHost } from "./context.js";
export { EXIT_CODES, type ExitCode } from "./exitCodes.js";
