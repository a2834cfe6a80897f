/**
 * Starts and stops the processes of the demo and of tests of several processes.
 *
 * The product itself starts no process; only this launcher does.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { dirname, join } from "node:path";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";

const START_TIMEOUT_MILLISECONDS = 30_000;
/** Folder of the compiled files, or of the sources when run from there. */
const BUILD_FOLDER = join(dirname(fileURLToPath(import.meta.url)), "..");

/** Processes that have not ended; none outlives the launcher. */
const running = new Set<ChildProcess>();
process.once("exit", killRunning);
for (const signal of ["SIGTERM", "SIGINT"] as const) {
    process.once(signal, () => process.exit(1));
}

/** Ends every process that was started here and still runs. */
export function killRunning(): void {
    for (const child of running) {
        child.kill("SIGKILL");
    }
}

/** A process that was started here. */
export interface StartedProcess {
    readonly name: string;
    readonly child: ChildProcess;
    /** Lines of standard error, oldest first. */
    readonly errorLines: readonly string[];
    /** Resolves with the exit code, or the signal's name, once the process has ended. */
    readonly ended: Promise<number | string>;
}

/** Options of `startProcess`. */
export interface ProcessOptions {
    /** File below the build folder, without its ending. */
    readonly file: string;
    readonly arguments: readonly string[];
}

/** Gives the Node.js arguments that run a file of this project, compiled or by `tsx`. */
function nodeArguments(file: string): string[] {
    const compiled = import.meta.url.endsWith(".js");
    return compiled ? [join(BUILD_FOLDER, `${file}.js`)] : ["--import", "tsx", join(BUILD_FOLDER, `${file}.ts`)];
}

/**
 * Starts a process.
 *
 * @param name Name for messages.
 * @param options What to run.
 *
 * @example
 * ```ts
 * const host = startProcess("entry-1", { file: "bin/flamingospread", arguments: ["run", "entry-1.jsonc"] });
 * host.child.kill("SIGTERM");
 * console.log(await host.ended);
 * ```
 */
export function startProcess(name: string, options: ProcessOptions): StartedProcess {
    const child = spawn(process.execPath, [...nodeArguments(options.file), ...options.arguments], {
        stdio: ["ignore", "pipe", "pipe"],
    });
    running.add(child);
    child.once("exit", () => void running.delete(child));
    const errorLines: string[] = [];
    createInterface({ input: child.stderr }).on("line", line => void errorLines.push(line));
    const ended = new Promise<number | string>(resolve => {
        child.once("exit", (code, signal) => resolve(code ?? signal ?? "unknown"));
    });
    return { name, child, errorLines, ended };
}

/** Waits for the line of JSON by which a stand-in tells the port that it listens on. */
export function waitForPort(started: StartedProcess): Promise<number> {
    return new Promise((resolve, reject) => {
        const timer = setTimeout(() => reject(new Error(`${started.name} did not start`)), START_TIMEOUT_MILLISECONDS);
        void started.ended.then(outcome =>
            reject(new Error(`${started.name} ended (${outcome}): ${started.errorLines.join("\n")}`))
        );
        if (started.child.stdout === null) {
            return;
        }
        createInterface({ input: started.child.stdout }).on("line", line => {
            if (line.startsWith("{\"listening\"")) {
                clearTimeout(timer);
                resolve((JSON.parse(line) as { listening: number; }).listening);
            }
        });
    });
}

/** Ends processes and waits for them. */
export async function stopProcesses(
    processes: readonly StartedProcess[],
    signal: NodeJS.Signals = "SIGKILL",
): Promise<void> {
    for (const { child } of processes) {
        child.kill(signal);
    }
    await Promise.all(processes.map(({ ended }) => ended));
}
