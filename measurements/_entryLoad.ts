/**
 * Sends requests to an entry host's program and measures its processor time.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { Agent, request } from "node:http";

/** Clock tick and field number of `/proc/PID/stat`, from proc(5). */
const MILLISECONDS_IN_TICK = 10;
const USER_TICKS_FIELD = 11;

const HOST_NAME = "site.example";
/** Concurrent requests of `sendMany`. */
export const CONCURRENCY = 16;

/** Two routes: reads of a plain service, and streams. */
export const CONFIGURATION = {
    version: 1,
    routes: [
        { name: "reads", pathPrefix: "/reads/", kind: "idempotent", service: "plain" },
        { name: "streams", pathPrefix: "/streams/", kind: "stream", service: "streams", targetGapMs: 150 },
    ].map(route => ({
        host: HOST_NAME,
        timeoutMs: 10_000,
        targetLatencyMs: 100,
        priority: 0,
        maxAttempts: 2,
        ...route,
    })),
    services: [{ name: "plain", maxConnections: 100 }, { name: "streams", maxConnections: 100 }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
};

const agent = new Agent({ keepAlive: true });
let requestCount = 0;

/** Closes the connections kept alive after requests. */
export function closeConnections(): void {
    agent.destroy();
}

/** Sends one request and returns the time until the end of its answer, in milliseconds. */
export function timeRequest(address: string, path: string): Promise<number> {
    const [host, port] = address.split(":");
    requestCount += 1;
    const headers = { "host": HOST_NAME, "flamingospread-request-id": `measured-${requestCount}` };
    const startedAt = performance.now();
    return new Promise((resolve, reject) => {
        request({ agent, host, port, path, headers }, answer => {
            answer.resume();
            answer.on("end", () => resolve(performance.now() - startedAt));
            answer.on("error", reject);
        }).on("error", reject).end();
    });
}

/** Sends requests, `CONCURRENCY` of them at a time. */
export async function sendMany(address: string, path: string, count: number): Promise<void> {
    let remaining = count;
    await Promise.all(Array.from({ length: CONCURRENCY }, async () => {
        while (remaining > 0) {
            remaining -= 1;
            await timeRequest(address, path);
        }
    }));
}

/** Returns the processor time that a process uses while some work runs, in milliseconds. */
export async function processorTimeOf(pid: number, work: () => Promise<void>): Promise<number> {
    const before = processorMilliseconds(pid);
    await work();
    return processorMilliseconds(pid) - before;
}

function processorMilliseconds(pid: number): number {
    const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1]?.split(" ") ?? [];
    const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[USER_TICKS_FIELD + 1]);
    return ticks * MILLISECONDS_IN_TICK;
}
