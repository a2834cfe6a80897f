/**
 * A host of a soak: a process that is restarted whenever it ends, as the platform does, and whose memory is observed.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { appendFileSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request as sendRequest } from "node:http";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { GRACE_MILLISECONDS, type HostSettings, PORTS, readCommand, renderSettings } from "./settings.js";
import { type SoakLog } from "./soakLog.js";

const RESTART_MILLISECONDS = 500;
const OBSERVE_INTERVAL_MILLISECONDS = 100;
const CALL_TIMEOUT_MILLISECONDS = 1_000;
const READY_WAIT_MILLISECONDS = 12_000;
const BYTES_PER_KIBIBYTE = 1_024;
const BYTES_PER_MEGABYTE = 1_000_000;

/** Processes that have not ended; they end with this one. */
const runningProcesses = new Set<ChildProcess>();
process.once("exit", () => runningProcesses.forEach(child => child.kill("SIGKILL")));

/** One process of a host. */
interface Life {
    readonly child: ChildProcess;
    readonly startedAt: number;
    readonly ended: Promise<void>;
    readyAt: number | undefined;
    peakBytes: number;
    isOver: boolean;
}

/** Calls an interface of a host; returns `undefined` where no answer comes. */
export function callInterface(
    address: string,
    port: number,
    path: string,
): Promise<{ readonly status: number | undefined; readonly text: string; } | undefined> {
    return new Promise(resolve => {
        const request = sendRequest(
            { host: address, port, path, agent: false, timeout: CALL_TIMEOUT_MILLISECONDS },
            answer => {
                let text = "";
                answer.on("data", (piece: Buffer) => text += piece.toString());
                answer.on("end", () => resolve({ status: answer.statusCode, text }));
                answer.on("error", () => resolve(undefined));
            },
        );
        request.on("timeout", () => request.destroy());
        request.on("error", () => resolve(undefined));
        request.end();
    });
}

/** Reads a process's peak of resident memory; 0 where it has ended. */
function readPeakBytes(pid: number | undefined): number {
    try {
        const [, kibibytes] = /^VmHWM:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid ?? 0}/status`, "utf8")) ?? [];
        return Number(kibibytes ?? 0) * BYTES_PER_KIBIBYTE;
    }
    catch {
        return 0;
    }
}

/** A host; `close` ends its process. */
export class SoakHost {
    readonly settingsPath: string;
    readonly #log: SoakLog;
    readonly #folder: string;
    readonly #command: readonly string[];
    readonly #observer: NodeJS.Timeout;
    #settings: HostSettings;
    #life: Life | undefined;
    #isClosed = false;

    /**
     * @param settings Its settings.
     * @param targetFolder Folder of the launcher.
     * @param folder Folder of its settings file and its output.
     */
    constructor(settings: HostSettings, targetFolder: string, folder: string, log: SoakLog) {
        this.#settings = settings;
        this.#log = log;
        this.#folder = folder;
        this.#command = readCommand(targetFolder, settings.memoryMegabytes);
        this.settingsPath = join(folder, `${settings.name}.conf`);
        this.#observer = setInterval(() => this.#observe(), OBSERVE_INTERVAL_MILLISECONDS);
    }

    get name(): string {
        return this.#settings.name;
    }

    get address(): string {
        return this.#settings.address;
    }

    get zone(): string {
        return this.#settings.zone;
    }

    get isReady(): boolean {
        return this.#life?.isOver === false && this.#life.readyAt !== undefined;
    }

    /** Changes a setting, as the next file states it. */
    changeSettings(changes: Partial<HostSettings>): void {
        this.#settings = { ...this.#settings, ...changes };
    }

    /** Writes the settings file, or a part of it; a part of 0 removes it. */
    writeSettings(part = 1): void {
        const text = renderSettings(this.#settings);
        if (part === 0) {
            rmSync(this.settingsPath, { force: true });
            return;
        }
        writeFileSync(this.settingsPath, text.slice(0, Math.floor(text.length * part)));
    }

    start(): void {
        if (this.#isClosed) {
            return;
        }
        this.writeSettings();
        const { HOME, PATH } = process.env;
        const child = spawn(process.execPath, this.#command, {
            env: { HOME, PATH, FLAMINGOSPREAD_NODE_FILE: this.settingsPath },
            stdio: ["ignore", "pipe", "pipe"],
        });
        runningProcesses.add(child);
        const keep = (piece: Buffer): void => appendFileSync(join(this.#folder, `${this.name}.log`), piece);
        child.stdout.on("data", keep);
        child.stderr.on("data", keep);
        const ended = new Promise<void>(resolve => child.once("exit", () => resolve()));
        const life = { child, startedAt: this.#log.now(), ended, readyAt: undefined, peakBytes: 0, isOver: false };
        this.#life = life;
        child.once("exit", (code, signal) => {
            runningProcesses.delete(child);
            this.#recordLife(life, { code, signal });
            setTimeout(() => this.start(), RESTART_MILLISECONDS);
        });
        void this.#awaitReady(life);
    }

    /** Sends a signal to the process that runs. */
    signal(name: NodeJS.Signals): void {
        const { child, isOver } = this.#life ?? {};
        if (child?.pid !== undefined && isOver === false) {
            this.#log.add({ type: "signal", host: this.name, pid: child.pid, signal: name, at: this.#log.now() });
            child.kill(name);
        }
    }

    /** Stops the process as the platform does; it is restarted. */
    async stop(): Promise<void> {
        const life = this.#life;
        this.signal("SIGTERM");
        const abort = new AbortController();
        await Promise.race([
            life?.ended,
            delay(GRACE_MILLISECONDS, undefined, { signal: abort.signal }).catch(() => 0),
        ]);
        abort.abort();
        if (life?.isOver === false && life === this.#life) {
            this.signal("SIGKILL");
        }
        await life?.ended;
    }

    /** Kills the process; it is restarted. */
    async kill(): Promise<void> {
        const life = this.#life;
        this.signal("SIGKILL");
        await life?.ended;
    }

    /** Waits until the host is ready, or a little longer than it may take. */
    async awaitReady(): Promise<void> {
        const end = this.#log.now() + READY_WAIT_MILLISECONDS;
        while (!this.isReady && !this.#isClosed && this.#log.now() < end) {
            await delay(OBSERVE_INTERVAL_MILLISECONDS);
        }
    }

    async close(): Promise<void> {
        this.#isClosed = true;
        clearInterval(this.#observer);
        const life = this.#life;
        if (life !== undefined && !life.isOver) {
            this.#recordLife(life, undefined);
            life.child.kill("SIGKILL");
            await life.ended;
        }
    }

    #recordLife(life: Life, exit: { readonly code: number | null; readonly signal: string | null; } | undefined): void {
        if (life.isOver) {
            return;
        }
        life.isOver = true;
        const { child: { pid = 0 }, peakBytes, readyAt, startedAt } = life;
        const endedAt = this.#log.now();
        this.#log.add({ type: "life", host: this.name, pid, startedAt, readyAt, endedAt, exit, peakBytes });
    }

    /** Reads the memory of the process, and kills it as the platform does where it has more than its machine. */
    #observe(): void {
        const life = this.#life;
        if (life === undefined || life.isOver) {
            return;
        }
        const wasOver = life.peakBytes > this.#settings.memoryMegabytes * BYTES_PER_MEGABYTE;
        life.peakBytes = Math.max(life.peakBytes, readPeakBytes(life.child.pid));
        if (!wasOver && life.peakBytes > this.#settings.memoryMegabytes * BYTES_PER_MEGABYTE) {
            this.signal("SIGKILL");
        }
    }

    async #awaitReady(life: Life): Promise<void> {
        while (!life.isOver) {
            const answer = await callInterface(this.address, PORTS.readiness, "/ready");
            if (answer?.status === 200) {
                life.readyAt = this.#log.now();
                return;
            }
            await delay(OBSERVE_INTERVAL_MILLISECONDS);
        }
    }
}
