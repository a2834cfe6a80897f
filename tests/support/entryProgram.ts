/**
 * Starts the platform's program as a child process with a settings file.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { findFreePorts } from "../../standins/freePorts.js";
import { callAuxiliaryServer, until } from "./entrySite.js";

const PROGRAM_READY_MILLISECONDS = 10_000;

/** A running program; `close` kills it and removes its settings file. */
export interface EntryProgram {
    readonly child: ChildProcess;
    /** Returns its output on standard output and standard error until now. */
    readonly output: () => string;
    /** Resolves to its exit code when it has ended. */
    readonly ended: Promise<number | null>;
    readonly settingsPath: string;
    close(): Promise<void>;
}

/** Settings of a host, and its ports. */
export interface EntryProgramSettings {
    readonly text: string;
    readonly readiness: number;
    readonly callers: number;
    readonly directory: number;
    readonly gossip: number;
    readonly state: number;
}

/**
 * Starts the program.
 *
 * @param settings Content of its settings file.
 * @param command Arguments of `node`; by default they run the source code.
 * @param environment Additional environment variables.
 */
export function startEntryProgram(
    settings: string,
    command: readonly string[] = ["--import", "tsx", "platform/main.ts"],
    environment: Readonly<Record<string, string>> = {},
): EntryProgram {
    const folder = mkdtempSync(join(tmpdir(), "entry-process-"));
    const settingsPath = join(folder, "node.conf");
    writeFileSync(settingsPath, settings);
    const child = spawn(process.execPath, command, {
        env: {
            ...process.env,
            FLAMINGOSPREAD_NODE_FILE: settingsPath,
            FLAMINGOSPREAD_METRICS_PORT: "0",
            ...environment,
        },
        stdio: ["ignore", "pipe", "pipe"],
    });
    let text = "";
    const add = (piece: Buffer): void => {
        text += piece.toString();
    };
    child.stdout.on("data", add);
    child.stderr.on("data", add);
    const ended = new Promise<number | null>(resolve => child.on("exit", resolve));
    const close = async (): Promise<void> => {
        child.kill("SIGKILL");
        await ended;
        rmSync(folder, { recursive: true });
    };
    return { child, output: () => text, ended, settingsPath, close };
}

/** Waits until a program reports that it is ready. */
export async function waitUntilProgramReady({ readiness }: Pick<EntryProgramSettings, "readiness">): Promise<void> {
    await until(async () => {
        const answer = await callAuxiliaryServer({ address: "127.0.0.1", port: readiness }, "/ready").catch(() =>
            undefined
        );
        return answer?.status === 200;
    }, PROGRAM_READY_MILLISECONDS);
}

/** What settings of a host may state beyond their defaults. */
export interface EntrySettingsOptions {
    /** Name of the host; `entry-1` by default. */
    readonly name?: string;
    /** Memory of the machine; not stated by default. */
    readonly memoryMegabytes?: number;
}

/** Creates settings of a host with addresses on free ports. */
export async function createEntrySettings(
    storeAddress: string,
    { memoryMegabytes, name = "entry-1" }: EntrySettingsOptions = {},
): Promise<EntryProgramSettings> {
    const [callers, readiness, control, directory, gossip] = await findFreePorts(5);
    const text = [
        `nodeName=${name}`,
        "ip=127.0.0.1",
        "zone=zone-a",
        `listen.front=127.0.0.1:${callers ?? 0}`,
        `listen.ready=127.0.0.1:${readiness ?? 0}`,
        `listen.control=127.0.0.1:${control ?? 0}`,
        `listen.directory=127.0.0.1:${directory ?? 0}`,
        `internalPortRange=${gossip ?? 0},${gossip ?? 0}`,
        "seeds=",
        "bounds.graceS=4",
        "bounds.retryBudgetRatio=0.2",
        "bounds.budgetWindowS=10",
        "bounds.budgetExtra=58",
        "bounds.leaseMs=3000",
        "bounds.ceilingWindowS=5",
        "bounds.ceilingOverage=1.1",
        "bounds.ttl_max_s=5",
        `platform.address=${storeAddress}`,
        ...memoryMegabytes === undefined ? [] : [`limits.memoryMb=${memoryMegabytes}`],
    ].join("\n");
    return {
        text,
        readiness: readiness ?? 0,
        callers: callers ?? 0,
        directory: directory ?? 0,
        gossip: gossip ?? 0,
        state: control ?? 0,
    };
}
