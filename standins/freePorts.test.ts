import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { findFreePorts } from "./freePorts.js";

/** Returns the first port that the system gives to outgoing connections. */
function firstEphemeralPort(): number {
    return Number(readFileSync("/proc/sys/net/ipv4/ip_local_port_range", "utf8").trim().split(/\s+/)[0]);
}

const FIND_PORTS_SCRIPT = `
    import { findFreePorts } from "./standins/freePorts.ts";
    console.log(JSON.stringify(await findFreePorts(60)));
    process.stdin.resume();
`;

/** Finds ports in another process, which keeps running until the returned function is called. */
function findPortsInAnotherProcess(): Promise<{ readonly ports: number[]; readonly end: () => void; }> {
    const child = spawn(process.execPath, ["--import", "tsx", "--input-type=module", "-e", FIND_PORTS_SCRIPT], {
        stdio: ["pipe", "pipe", "inherit"],
    });
    return new Promise((resolve, reject) => {
        child.once("error", reject);
        child.once("exit", code => reject(new Error(`the process exited with ${code}`)));
        child.stdout.once("data", (chunk: Buffer) =>
            resolve({
                ports: JSON.parse(chunk.toString()) as number[],
                end: () => child.kill("SIGKILL"),
            }));
    });
}

test("processes that find ports at the same time get different ones, all below the ephemeral ports", async context => {
    const otherProcesses = await Promise.all([
        findPortsInAnotherProcess(),
        findPortsInAnotherProcess(),
        findPortsInAnotherProcess(),
    ]);
    context.after(() => otherProcesses.forEach(({ end }) => end()));
    const ownPorts = await Promise.all([findFreePorts(30), findFreePorts(30)]);
    const all = [...ownPorts, ...otherProcesses.map(({ ports }) => ports)].flat();
    assert.equal(new Set(all).size, 240);
    assert.ok(Math.max(...all) < firstEphemeralPort());
});
