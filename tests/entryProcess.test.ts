import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test, type TestContext } from "node:test";
import { findFreePorts } from "../standins/freePorts.js";
import { PlatformStoreStandIn } from "../standins/platform/store.js";
import { PlatformUpstreamStandIn } from "../standins/platform/upstream.js";
import { askSmall, callHost, HOST_NAME, until } from "./support/entrySite.js";

interface Started {
    readonly child: ChildProcess;
    readonly output: () => string;
    readonly ended: Promise<number | null>;
    readonly settingsPath: string;
}

function startProgram(context: TestContext, settings: string): Started {
    const folder = mkdtempSync(join(tmpdir(), "entry-process-"));
    const settingsPath = join(folder, "node.conf");
    writeFileSync(settingsPath, settings);
    const child = spawn(process.execPath, ["--import", "tsx", "platform/main.ts"], {
        env: { ...process.env, FLAMINGOSPREAD_NODE_FILE: settingsPath, FLAMINGOSPREAD_METRICS_PORT: "0" },
        stdio: ["ignore", "pipe", "pipe"],
    });
    let text = "";
    child.stdout.on("data", (piece: Buffer) => {
        text += piece.toString();
    });
    child.stderr.on("data", (piece: Buffer) => {
        text += piece.toString();
    });
    const ended = new Promise<number | null>(resolve => child.on("exit", resolve));
    context.after(async () => {
        child.kill("SIGKILL");
        await ended;
        rmSync(folder, { recursive: true });
    });
    return { child, output: () => text, ended, settingsPath };
}

async function settingsFor(
    storeAddress: string,
): Promise<{ readonly text: string; readonly readiness: number; readonly callers: number; }> {
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

test("a process with a settings file that cannot be used says why and ends with its own code", async context => {
    const { child, ended, output } = startProgram(context, "nodeName=x\nip=1.2.3.4\nlisten.front=here\n");
    assert.equal(await ended, 3);
    assert.match(output(), /node\.conf:3: listen\.front: "here" is not an IP number and a port/);
    assert.match(output(), /zone is missing/);
    assert.equal(child.exitCode, 3);
});

test("the program serves, takes changed settings, and on SIGTERM finishes what it took and ends with 0", async context => {
    const store = await PlatformStoreStandIn.start();
    const upstream = await PlatformUpstreamStandIn.start({
        id: "i-1",
        behave: () => ({ type: "answer", afterMilliseconds: 1_500 }),
    });
    context.after(async () => {
        await upstream.close();
        await store.close();
    });
    store.put("servers/i-1", upstream.announcement("plain"));
    store.put("op/config", {
        version: 1,
        routes: [{
            name: "r",
            host: HOST_NAME,
            pathPrefix: "/a/",
            kind: "non_idempotent",
            timeoutMs: 4_000,
            targetLatencyMs: 100,
            priority: 0,
            service: "plain",
            maxAttempts: 1,
        }],
        services: [{ name: "plain", maxConnections: 10 }],
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    });
    const { callers, readiness, text } = await settingsFor(store.address);
    const { child, ended, output, settingsPath } = startProgram(context, text);
    const isReady = async (): Promise<boolean> =>
        (await askSmall({ address: "127.0.0.1", port: readiness }, "/ready").catch(() => undefined))?.status === 200;
    await until(isReady, 10_000);
    writeFileSync(settingsPath, `${text}\nnewField=1`);
    child.kill("SIGHUP");
    await until(() => output().includes("settings reloaded"));
    writeFileSync(settingsPath, "nonsense");
    child.kill("SIGHUP");
    await until(() => output().includes("the old ones stay"));
    const host = { settings: { callers: { address: "127.0.0.1", port: callers } } };
    const answer = callHost(host, { path: "/a/1", method: "POST", id: "taken" });
    await until(() => upstream.received.length === 1);
    child.kill("SIGTERM");
    assert.equal((await answer).status, 200);
    assert.equal(await ended, 0);
    const lines = output().trim().split("\n").map(line => JSON.parse(line) as { message: string; });
    for (const message of ["starting", "started", "configuration in force", "session began", "stopping", "stopped"]) {
        assert.ok(lines.some(line => line.message === message), message);
    }
    assert.deepEqual(store.keys("hosts/"), []);
});
