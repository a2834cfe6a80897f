import assert from "node:assert/strict";
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync } from "node:fs";
import { Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { BoundedOutput, createDecisionLog, createEntryMetrics, listEntryMetrics } from "./index.js";

function withFile(use: (fileDescriptor: number, read: () => string) => Promise<void>): Promise<void> {
    const folder = mkdtempSync(join(tmpdir(), "decision-log-"));
    const path = join(folder, "log");
    const fileDescriptor = openSync(path, "w");
    return use(fileDescriptor, () => readFileSync(path, "utf8")).finally(() => {
        closeSync(fileDescriptor);
        rmSync(folder, { recursive: true });
    });
}

test("each line is one JSON object with its time, level, message and fields", async () => {
    await withFile(async (fileDescriptor, read) => {
        const log = createDecisionLog({ fields: { host: "entry-1" }, fileDescriptor });
        log.info("request refused", { request: "9c41", reason: "all-full" });
        log.close();
        await delay(10);
        const line = JSON.parse(read()) as Record<string, unknown>;
        assert.deepEqual([line["host"], line["level"], line["message"], line["request"]], [
            "entry-1",
            "info",
            "request refused",
            "9c41",
        ]);
        assert.match(String(line["timestamp"]), /^\d{4}-\d\d-\d\dT/);
    });
});

test("lines above the rate limit are dropped, and their number is logged", async () => {
    await withFile(async (fileDescriptor, read) => {
        const log = createDecisionLog({ fields: {}, linesPerSecond: 20, fileDescriptor });
        for (let index = 0; index < 500; index += 1) {
            log.info("request ended", { index });
        }
        await delay(1_100);
        log.info("request ended", { index: 500 });
        log.close();
        const lines = read().trim().split("\n").map(line => JSON.parse(line) as { message: string; count?: number; });
        const kept = lines.filter(({ message }) => message === "request ended").length;
        const droppedReports = lines.filter(({ message }) => message === "log lines left out");
        assert.ok(kept <= 62, `kept ${kept}`);
        assert.equal(kept + droppedReports.reduce((sum, { count }) => sum + (count ?? 0), 0), 501);
    });
});

test("an output whose reader has paused stays bounded without blocking, and reports the dropped lines", async () => {
    const { createServer } = await import("node:net");
    const server = createServer(socket => socket.pause()).listen(0, "127.0.0.1");
    await new Promise(resolve => server.once("listening", resolve));
    const { port } = server.address() as { port: number; };
    const socket = new Socket().connect(port, "127.0.0.1");
    await new Promise(resolve => socket.once("connect", resolve));
    const fileDescriptor = (socket as unknown as { readonly _handle: { readonly fd: number; }; })._handle.fd;
    let dropped = 0;
    const output = new BoundedOutput({
        fileDescriptor,
        describeDropped: count => {
            dropped += count;
            return "";
        },
    });
    const startedAt = performance.now();
    for (let index = 0; index < 40_000; index += 1) {
        output.write(`${"x".repeat(1_000)}\n`);
        if (index % 4_000 === 0) {
            await delay(1);
        }
    }
    assert.ok(performance.now() - startedAt < 2_000);
    output.close();
    assert.ok(dropped > 30_000, `dropped ${dropped}`);
    socket.destroy();
    server.close();
});

test("no more than 64 accounts have a label of their own, however many send requests", async () => {
    const metrics = createEntryMetrics();
    for (let index = 0; index < 200; index += 1) {
        metrics.add("account_tokens", { account: `account-${index % 100}`, outcome: "admitted" }, 5);
    }
    metrics.gaugeByLabel(
        "quota_use",
        new Map([["account-7", 0.5], ["account-98", 0.25], ["account-99", 0.75]]),
    );
    const lines = (await metrics.render()).split("\n");
    const tokens = lines.filter(line => line.startsWith("flamingospread_account_tokens_total{"));
    assert.equal(tokens.length, 65);
    assert.ok(tokens.includes("flamingospread_account_tokens_total{account=\"other\",outcome=\"admitted\"} 360"));
    const used = lines.filter(line => line.startsWith("flamingospread_quota_use{")).map(line =>
        line.split("account=")[1]
    );
    assert.deepEqual(used, ["\"account-7\"} 0.5", "\"other\"} 0.75"]);
});

test("the rendered text has samples in the exposition format and the help text of every listed metric", async () => {
    const metrics = createEntryMetrics();
    metrics.count("refusals", { reason: "all-full" });
    metrics.observe("answer_seconds", 25, { kind: "idempotent" });
    const text = await metrics.render();
    assert.match(text, /flamingospread_refusals_total\{reason="all-full"\} 1/);
    assert.match(text, /flamingospread_answer_seconds_bucket\{le="0.025",kind="idempotent"\} 1/);
    for (const { name, help } of listEntryMetrics()) {
        assert.ok(text.includes(`# HELP ${name} ${help}`), name);
    }
});
