/**
 * Memory of a process, as the kernel tells it, and of this one, as Node.js does.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

const BYTES_PER_KIBIBYTE = 1_024;

/**
 * Returns the resident memory of a process.
 *
 * @param processId Its identifier.
 * @returns The memory in bytes; `undefined` once the process has ended.
 */
export function readResidentBytes(processId: number | undefined): number | undefined {
    try {
        const status = readFileSync(`/proc/${processId ?? 0}/status`, "latin1");
        const kibibytes = /^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1];
        return kibibytes === undefined ? undefined : Number(kibibytes) * BYTES_PER_KIBIBYTE;
    }
    catch {
        return undefined;
    }
}

/**
 * Returns the resident memory of a process that runs.
 *
 * @param processId Its identifier.
 * @returns The memory in MiB.
 * @throws Once the process has ended.
 */
export function residentMebibytes(processId: number | undefined): number {
    const bytes = readResidentBytes(processId);
    if (bytes === undefined) {
        throw new Error(`process ${processId ?? "none"} has ended`);
    }
    return bytes / (BYTES_PER_KIBIBYTE * BYTES_PER_KIBIBYTE);
}

/** Returns the memory of this process after a collection of what is not in use. */
export function memoryAfterCollection(): NodeJS.MemoryUsage {
    setFlagsFromString("--expose-gc");
    (runInNewContext("gc") as () => void)();
    return process.memoryUsage();
}
