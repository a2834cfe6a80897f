import assert from "node:assert/strict";
import { createServer } from "node:http";
import { type AddressInfo } from "node:net";
import { PassThrough, Writable } from "node:stream";
import { test } from "node:test";
import { startKeyValueStandIn } from "../../standins/keyValue.js";
import { createKeyValueClient } from "../platform/index.js";
import { type CommandContext, runCommandLine } from "./index.js";

class TextSink extends Writable {
    text = "";

    override _write(chunk: Buffer, _encoding: string, done: () => void): void {
        this.text += chunk.toString();
        done();
    }
}

let changeCount = 0;

async function runCommand(commandArguments: readonly string[], overrides: Partial<CommandContext> = {}) {
    const stdout = new TextSink();
    const stderr = new TextSink();
    const exitCode = await runCommandLine(commandArguments, {
        stdin: new PassThrough(),
        stdout,
        stderr,
        env: {},
        colorDepth: 1,
        startHost: () => Promise.reject(new Error("the address is in use")),
        createKeyValue: urls => createKeyValueClient({ urls }),
        createIdentifier: () => `change-${changeCount += 1}`,
        readTimeOfDay: () => 0,
        wait: () => Promise.resolve(),
        operator: "tester",
        onTerminate: () => undefined,
        ...overrides,
    }, { version: "0.0.0" });
    return { exitCode, output: stdout.text, errors: stderr.text };
}

function parseOutput(result: { readonly output: string; }): Readonly<Record<string, unknown>> {
    return JSON.parse(result.output) as Readonly<Record<string, unknown>>;
}

test("apply and show return their exit codes, also for a conflict, a lost answer and an outage", async context => {
    const store = await startKeyValueStandIn();
    context.after(() => store.close());
    const storeOptions = ["--store", store.url];
    const empty = await runCommand(["show", ...storeOptions]);
    assert.equal(empty.exitCode, 1);
    const first = await runCommand(["apply", ...storeOptions, "--expect", "0", "examples/sakan.jsonc"]);
    assert.equal(first.exitCode, 0, first.errors);
    assert.match(first.output, /Applied as revision 1/);
    const raced = await runCommand(["apply", ...storeOptions, "--expect", "0", "examples/arrieta.jsonc"]);
    assert.equal(raced.exitCode, 4);
    assert.match(raced.errors, /started from: revision 0\n.*revision 1, change .* by tester/);
    store.setFaults({ pathPrefix: "/v3/kv/txn", dropAnswers: 2 });
    const lost = await runCommand(["apply", ...storeOptions, "--expect", "1", "--json", "examples/arrieta.jsonc"]);
    assert.deepEqual([lost.exitCode, parseOutput(lost).revision], [0, 2]);
    const shown = await runCommand(["show", ...storeOptions]);
    assert.match(shown.output, /^\/\/ revision 2, change/);
    const again = await runCommand(["apply", ...storeOptions, "--expect", "1", "examples/arrieta.jsonc"]);
    assert.match(again.output, /Nothing to change: already applied as revision 2/);
    store.setFaults({ pathPrefix: "/", outage: true });
    assert.equal((await runCommand(["apply", ...storeOptions, "examples/sakan.jsonc"])).exitCode, 5);
    assert.equal((await runCommand(["show", ...storeOptions])).exitCode, 5);
});

test("check and invalid usage return their exit codes, and --json prints one object", async () => {
    assert.equal((await runCommand(["check", "examples/sakan.jsonc"])).exitCode, 0);
    assert.equal((await runCommand(["check", "--host-settings", "examples/host.jsonc"])).exitCode, 0);
    const wrong = await runCommand(["check", "--json", "examples/host.jsonc"]);
    assert.equal(wrong.exitCode, 3);
    assert.equal(parseOutput(wrong).ok, false);
    const usages = [["check"], ["unknown"], ["apply", "examples/sakan.jsonc"], ["check", "missing.jsonc"], [
        "status",
        "http://host.example:1",
    ], ["apply", "--store", "http://127.0.0.1:1", "--expect", "x", "examples/sakan.jsonc"]];
    for (const usage of usages) {
        assert.equal((await runCommand(usage)).exitCode, 2, usage.join(" "));
    }
    for (const command of ["run", "check", "apply", "show", "status", "drain"]) {
        const help = await runCommand([command, "--help"]);
        assert.deepEqual([help.exitCode, /Examples/.test(help.output)], [0, true]);
        assert.ok(!help.output.includes("\u001b"), "no colours where the terminal has none");
    }
});

test("run exits with 0 after the host has stopped, and with 1 if the host cannot start", async () => {
    let finish: () => void = () => undefined;
    const closed = new Promise<void>(resolve => {
        finish = resolve;
    });
    const host = {
        drain: () => {
            finish();
            return closed;
        },
        closed,
    };
    const ended = await runCommand(["run", "examples/host.jsonc"], {
        startHost: () => Promise.resolve(host),
        onTerminate: callback => callback(),
    });
    assert.equal(ended.exitCode, 0);
    assert.equal((await runCommand(["run", "examples/host.jsonc"])).exitCode, 1);
});

test("status and drain call the host, and exit with 1 if it does not answer", async context => {
    const server = createServer((request, response) => {
        response.end(JSON.stringify({ path: request.url, method: request.method }));
    });
    await new Promise<void>(resolve => {
        server.listen(0, "127.0.0.1", resolve);
    });
    context.after(() => {
        server.closeAllConnections();
        server.close();
    });
    const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    const status = await runCommand(["status", "--json", url]);
    assert.deepEqual(parseOutput(status).status, { path: "/v1/status", method: "GET" });
    assert.equal((await runCommand(["drain", url])).exitCode, 0);
    await new Promise(resolve => {
        server.close(resolve);
        server.closeAllConnections();
    });
    assert.equal((await runCommand(["drain", url])).exitCode, 1);
});
