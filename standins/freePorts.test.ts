import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { findFreePorts } from "./freePorts.js";

/** First port that the system itself gives to outgoing connections. */
function firstEphemeralPort(): number {
    return Number(readFileSync("/proc/sys/net/ipv4/ip_local_port_range", "utf8").trim().split(/\s+/)[0]);
}

const ASK_IN_ANOTHER_PROCESS = `
    import { findFreePorts } from "./standins/freePorts.ts";
    console.log(JSON.stringify(await findFreePorts(60)));
    process.stdin.resume();
`;

/** Asks for ports in another process, which lives on until the returned function is called. */
function askInAnotherProcess(): Promise<{ readonly ports: number[]; readonly end: () => void; }> {
    const child = spawn(process.execPath, ["--import", "tsx", "--input-type=module", "-e", ASK_IN_ANOTHER_PROCESS], {
        stdio: ["pipe", "pipe", "inherit"],
    });
    return new Promise((resolve, reject) => {
        child.once("error", reject);
        child.once("exit", code => reject(new Error(`ended with ${code}`)));
        child.stdout.once("data", (piece: Buffer) =>
            resolve({
                ports: JSON.parse(piece.toString()) as number[],
                end: () => child.kill("SIGKILL"),
            }));
    });
}

test("ports that processes ask for at the same time are all different, and none is one of outgoing connections", async context => {
    const others = await Promise.all([askInAnotherProcess(), askInAnotherProcess(), askInAnotherProcess()]);
    context.after(() => others.forEach(({ end }) => end()));
    const together = await Promise.all([findFreePorts(30), findFreePorts(30)]);
    const all = [...together, ...others.map(({ ports }) => ports)].flat();
    assert.equal(new Set(all).size, 240);
    assert.ok(Math.max(...all) < firstEphemeralPort());
});
