/**
 * Starts and stops the processes of the demo and of tests that use several processes.
 *
 * Only this launcher starts processes; the product itself starts none.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { dirname, join } from "node:path";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";

const START_TIMEOUT_MILLISECONDS = 30_000;
/** Folder of the compiled files, or of the sources where `tsx` runs them. */
const BUILD_FOLDER = join(dirname(fileURLToPath(import.meta.url)), "..");

/** Processes that have not exited. They are killed when the launcher exits. */
const runningProcesses = new Set<ChildProcess>();
process.once("exit", killRunning);
for (const signal of ["SIGTERM", "SIGINT"] as const) {
    process.once(signal, () => process.exit(1));
}

/** Kills all processes that were started by this module and still run. */
export function killRunning(): void {
    for (const child of runningProcesses) {
        child.kill("SIGKILL");
    }
}

/** A process that was started by this module. */
export interface StartedProcess {
    readonly name: string;
    readonly child: ChildProcess;
    /** Lines of standard error, oldest first. */
    readonly errorLines: readonly string[];
    /** Resolves with the exit code or the name of the signal once the process has exited. */
    readonly ended: Promise<number | string>;
}

/** Options of `startProcess`. */
export interface ProcessOptions {
    /** File below the build folder, without its extension. */
    readonly file: string;
    readonly arguments: readonly string[];
}

/** Returns the Node.js arguments that run a file of this project, compiled or by `tsx`. */
function nodeArguments(file: string): string[] {
    const compiled = import.meta.url.endsWith(".js");
    return compiled ? [join(BUILD_FOLDER, `${file}.js`)] : ["--import", "tsx", join(BUILD_FOLDER, `${file}.ts`)];
}

/**
 * Starts a process.
 *
 * @param name Name in error messages.
 * @param options File and arguments.
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
    runningProcesses.add(child);
    child.once("exit", () => void runningProcesses.delete(child));
    const errorLines: string[] = [];
    createInterface({ input: child.stderr }).on("line", line => void errorLines.push(line));
    const ended = new Promise<number | string>(resolve => {
        child.once("exit", (code, signal) => resolve(code ?? signal ?? "unknown"));
    });
    return { name, child, errorLines, ended };
}

/** Waits for the line of JSON in which a stand-in prints the port that it listens on. */
export function waitForPort(started: StartedProcess): Promise<number> {
    return new Promise((resolve, reject) => {
        const timer = setTimeout(
            () => reject(new Error(`${started.name} printed no port in time`)),
            START_TIMEOUT_MILLISECONDS,
        );
        void started.ended.then(outcome =>
            reject(
                new Error(
                    `${started.name} exited (${outcome}) before it printed its port: ${started.errorLines.join("\n")}`,
                ),
            )
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

/** Sends a signal to processes and waits until they have exited. */
export async function stopProcesses(
    processes: readonly StartedProcess[],
    signal: NodeJS.Signals = "SIGKILL",
): Promise<void> {
    for (const { child } of processes) {
        child.kill(signal);
    }
    await Promise.all(processes.map(({ ended }) => ended));
}
