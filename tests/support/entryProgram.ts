/**
 * The platform's program as a process of its own, with a settings file.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { findFreePorts } from "../../standins/freePorts.js";
import { askSmall, until } from "./entrySite.js";

const PROGRAM_READY_MILLISECONDS = 10_000;

/** A program that was started; `close` ends it and removes its settings. */
export interface EntryProgram {
    readonly child: ChildProcess;
    /** What it has written to standard output and standard error. */
    readonly output: () => string;
    /** Its exit code, once it has ended. */
    readonly ended: Promise<number | null>;
    readonly settingsPath: string;
    close(): Promise<void>;
}

/** Settings of a host, and the ports that it gives callers and readiness. */
export interface EntryProgramSettings {
    readonly text: string;
    readonly readiness: number;
    readonly callers: number;
}

/**
 * Starts the program.
 *
 * @param settings The text of its settings file.
 * @param command What node runs; the sources by default.
 * @param environment Further variables of its environment.
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

/** Waits until a program says that it is ready. */
export async function programReady({ readiness }: Pick<EntryProgramSettings, "readiness">): Promise<void> {
    await until(async () => {
        const answer = await askSmall({ address: "127.0.0.1", port: readiness }, "/ready").catch(() => undefined);
        return answer?.status === 200;
    }, PROGRAM_READY_MILLISECONDS);
}

/** Gives settings with addresses that nothing listens on. */
export async function createEntrySettings(storeAddress: string): Promise<EntryProgramSettings> {
    const [callers, readiness, control, directory, gossip] = await findFreePorts(5);
    const text = [
        "nodeName=entry-1",
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
    ].join("\n");
    return { text, readiness: readiness ?? 0, callers: callers ?? 0 };
}
