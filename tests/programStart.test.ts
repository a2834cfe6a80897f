/**
 * What may happen to the program while it starts: none of it ends the process.
 *
 * @module
 */
import assert from "node:assert/strict";
import { writeFileSync } from "node:fs";
import { createServer, type Server } from "node:net";
import { after, before, test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { findFreePorts } from "../standins/freePorts.js";
import { PlatformStoreStandIn } from "../standins/platform/store.js";
import { type BundledProgram, bundleProgram, NODE_OPTIONS } from "./support/bundledProgram.js";
import {
    createEntrySettings,
    type EntryProgram,
    type EntryProgramSettings,
    startEntryProgram,
    waitUntilProgramReady,
} from "./support/entryProgram.js";
import { callAuxiliaryServer, until } from "./support/entrySite.js";

/** Time for which a settings file is not whole. */
const HINDERED_MILLISECONDS = 800;

const CONFIGURATION = {
    version: 1,
    routes: [],
    services: [],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
};

let bundled: BundledProgram;
let store: PlatformStoreStandIn;

before(async () => {
    bundled = await bundleProgram();
    store = await PlatformStoreStandIn.start();
    store.put("op/config", CONFIGURATION);
});

after(async () => {
    bundled.close();
    await store.close();
});

function start(
    context: TestContext,
    text: string,
    environment: Readonly<Record<string, string>> = {},
): EntryProgram {
    const program = startEntryProgram(text, [...NODE_OPTIONS, bundled.launcher], environment);
    context.after(() => program.close());
    return program;
}

/** Returns the messages of a program's log lines. */
function messagesOf({ output }: EntryProgram): string[] {
    return output().split("\n").filter(line => line.startsWith("{")).map(line => {
        return (JSON.parse(line) as { readonly message: string; }).message;
    });
}

/** Waits until a program is ready, or has ended. */
async function assertReady(program: EntryProgram, settings: EntryProgramSettings): Promise<void> {
    const ended = program.ended.then(code => assert.fail(`ended with code ${code}: ${program.output()}`));
    await Promise.race([waitUntilProgramReady(settings), ended]);
}

async function end(program: EntryProgram): Promise<void> {
    program.child.kill("SIGKILL");
    await program.ended;
}

/** Asks a server of the program; `undefined` where it does not answer. */
function callPort(port: number, path: string): Promise<{ readonly status: number; } | undefined> {
    return callAuxiliaryServer({ address: "127.0.0.1", port }, path).catch(() => undefined);
}

/** Takes a port as the host that is being replaced does. */
async function takePort(port: number): Promise<Server> {
    const holder = createServer(socket => socket.destroy());
    await new Promise<void>(resolve => holder.listen(port, "127.0.0.1", resolve));
    return holder;
}

// Guards against a process that ends since its settings are read while their file is being replaced.
test("a program whose settings file is not whole yet starts once it is", async context => {
    const settings = await createEntrySettings(store.address);
    for (const part of ["", settings.text.slice(0, settings.text.length / 2)]) {
        const program = start(context, part);
        await delay(HINDERED_MILLISECONDS);
        writeFileSync(program.settingsPath, settings.text);
        await assertReady(program, settings);
        await end(program);
    }
});

// Guards against a host that does not start at its address while its predecessor still leaves there.
test("a program whose ports are still taken starts once they are free", async context => {
    const settings = await createEntrySettings(store.address);
    for (const port of [settings.callers, settings.directory, settings.readiness]) {
        const holder = await takePort(port);
        const program = start(context, settings.text);
        await until(() => messagesOf(program).includes("address in use"), 10_000);
        holder.close();
        await assertReady(program, settings);
        await end(program);
    }
});

/** Longer than the grace period of 0 s, and the 2 s within which the platform ends a process after it. */
const HANGING_MILLISECONDS = 3_500;

// Guards against a host that ends, again at each restart, since its predecessor hangs until it is killed.
test("a program whose predecessor is stopped waits until it is gone", async context => {
    const settings = await createEntrySettings(store.address);
    const text = settings.text.replace("bounds.graceS=4", "bounds.graceS=0");
    const predecessor = start(context, text);
    await assertReady(predecessor, settings);
    predecessor.child.kill("SIGSTOP");
    const successor = start(context, text);
    await delay(HANGING_MILLISECONDS);
    assert.equal(successor.child.exitCode, null, successor.output());
    await end(predecessor);
    await assertReady(successor, settings);
});

test("a program that waits for an address is told to stop and ends with code 0", async context => {
    const settings = await createEntrySettings(store.address);
    const holder = await takePort(settings.callers);
    context.after(() => holder.close());
    const program = start(context, settings.text);
    await until(() => messagesOf(program).includes("address in use"), 10_000);
    program.child.kill("SIGTERM");
    assert.equal(await program.ended, 0);
    assert.ok(messagesOf(program).includes("stopped before the start"));
});

// Guards against callers that are taken in, or directed to a host, before it can serve them.
test("a program that waits for an address takes no callers and is not ready", async context => {
    const settings = await createEntrySettings(store.address);
    for (const port of [settings.callers, settings.directory, settings.readiness]) {
        const holder = await takePort(port);
        const program = start(context, settings.text);
        await until(() => messagesOf(program).includes("address in use"), 10_000);
        for (const [served, path] of [[settings.directory, "/resolve"], [settings.readiness, "/ready"]] as const) {
            const answer = await callPort(served, path);
            assert.ok(answer === undefined || answer.status === 503, JSON.stringify(answer));
        }
        if (port !== settings.callers) {
            assert.equal(await callPort(settings.callers, "/"), undefined);
        }
        holder.close();
        await assertReady(program, settings);
        await end(program);
    }
});

// Guards against a host that serves no callers since something else holds the port of its metrics.
test("a program whose metrics cannot be served serves callers, and metrics once their port is free", async context => {
    const settings = await createEntrySettings(store.address);
    const [metricsPort] = await findFreePorts(1);
    assert.ok(metricsPort !== undefined);
    const holder = await takePort(metricsPort);
    const program = start(context, settings.text, { FLAMINGOSPREAD_METRICS_PORT: String(metricsPort) });
    await assertReady(program, settings);
    await until(() => messagesOf(program).includes("address in use"), 5_000);
    holder.close();
    await until(async () => (await callPort(metricsPort, "/metrics"))?.status === 200, 5_000);
    await end(program);
    const withoutPort = start(context, settings.text, { FLAMINGOSPREAD_METRICS_PORT: "99999" });
    await assertReady(withoutPort, settings);
    await until(() => messagesOf(withoutPort).includes("metrics not served"), 5_000);
});

test("a program with an address that its machine does not have says so and ends", async context => {
    const settings = await createEntrySettings(store.address);
    const text = settings.text.replace(/^listen\.front=.*$/m, `listen.front=192.0.2.1:${settings.callers}`);
    const program = start(context, text);
    assert.equal(await program.ended, 1);
    assert.ok(messagesOf(program).includes("address not available"));
    assert.match(program.output(), /"detail":"Error: listen EADDRNOTAVAIL[^\n]*"message":"start failed"/);
});

test("a program takes over the addresses of one that leaves", async context => {
    const settings = await createEntrySettings(store.address);
    const predecessor = start(context, settings.text);
    await assertReady(predecessor, settings);
    predecessor.child.kill("SIGTERM");
    await delay(HINDERED_MILLISECONDS / 2);
    const successor = start(context, settings.text);
    assert.equal(await predecessor.ended, 0);
    await until(() => messagesOf(successor).includes("started"), 10_000);
});

// Guards against settings that a host cannot run with: it hung, ran out of memory or could not be reached by peers.
test("a program whose settings cannot be used says why and ends with code 3", async context => {
    const { callers, text } = await createEntrySettings(store.address);
    const manyFields = Array.from({ length: 500_000 }, (_, index) => `field${index}=of some length`).join("\n");
    const cases = [
        [`${text}\n${manyFields}`, /has \d{8} bytes, more than 1048576/],
        [text.replace(/^internalPortRange=.*$/m, "internalPortRange=99999,99999"), /is not between 1 and 65535/],
        [text.replace(/^internalPortRange=.*$/m, "internalPortRange=0,0"), /is not between 1 and 65535/],
        [text.replace(/^ip=.*$/m, "ip=host.invalid"), /ip: "host.invalid" is not an IP number/],
        [
            text.replace(/^listen\.directory=.*$/m, `listen.directory=127.0.0.1:${callers}`),
            /listen.directory: "127.0.0.1:\d+" is the address of listen.front too/,
        ],
    ] as const;
    await Promise.all(cases.map(async ([settings, problem]) => {
        const program = start(context, settings);
        const code = await Promise.race([program.ended, delay(10_000, "none", { ref: false })]);
        assert.equal(code, 3, program.output().slice(0, 500));
        assert.match(program.output(), problem);
    }));
});

test("a program without the path of a settings file says so", async context => {
    const program = start(context, "", { FLAMINGOSPREAD_NODE_FILE: "" });
    assert.equal(await program.ended, 3);
    assert.match(program.output(), /FLAMINGOSPREAD_NODE_FILE is not set/);
});

// Guards against a process that ends since it is told of changed settings before it has started.
test("a program that is told of changed settings while it loads goes on", async context => {
    const settings = await createEntrySettings(store.address);
    const program = start(context, settings.text);
    await until(() => program.output().includes("starting without compiled code"), 5_000);
    for (let count = 0; count < 20; count += 1) {
        program.child.kill("SIGHUP");
        await delay(10);
    }
    await assertReady(program, settings);
});

test("a program that is told to stop while it starts says so and ends with code 0", async context => {
    const settings = await createEntrySettings(store.address);
    const program = start(context, settings.text);
    await until(() => program.output().includes("starting without compiled code"), 5_000);
    program.child.kill("SIGTERM");
    assert.equal(await program.ended, 0);
    assert.ok(messagesOf(program).some(message => message === "stopped" || message === "stopped before the start"));
});

/** Signals that stop a program; SIGINT comes from a terminal, SIGQUIT from supervisors too. */
const STOP_SIGNALS = ["SIGINT", "SIGQUIT", "SIGTERM"] as const;

/** Signals that have no effect; by default SIGUSR1 opens a debugger's port and SIGUSR2 ends the process. */
const IGNORED_SIGNALS = ["SIGPIPE", "SIGUSR1", "SIGUSR2"] as const;

// Guards against requests that are cut since a signal has its default effect.
test("a program at work stops by each signal that stops, and by several of them, with code 0", async context => {
    for (const signal of STOP_SIGNALS) {
        const settings = await createEntrySettings(store.address);
        const program = start(context, settings.text);
        await assertReady(program, settings);
        program.child.kill(signal);
        await until(() => messagesOf(program).includes("stopping"), 5_000);
        for (const later of [...STOP_SIGNALS, "SIGHUP"] as const) {
            program.child.kill(later);
            await delay(20);
        }
        assert.equal(await program.ended, 0, signal);
        assert.equal(messagesOf(program).at(-1), "stopped");
    }
});

test("a program that loads stops by SIGINT and SIGQUIT too, with code 0", async context => {
    for (const signal of ["SIGINT", "SIGQUIT"] as const) {
        const settings = await createEntrySettings(store.address);
        const program = start(context, settings.text);
        await until(() => program.output().includes("starting without compiled code"), 5_000);
        program.child.kill(signal);
        assert.equal(await program.ended, 0, signal);
    }
});

test("a program goes on after signals without effect, while it loads and at work, and opens no port", async context => {
    const settings = await createEntrySettings(store.address);
    const program = start(context, settings.text);
    await until(() => program.output().includes("starting without compiled code"), 5_000);
    const sendAll = async (): Promise<void> => {
        for (const signal of IGNORED_SIGNALS) {
            program.child.kill(signal);
            await delay(50);
        }
    };
    await sendAll();
    await assertReady(program, settings);
    await sendAll();
    await until(() => messagesOf(program).includes("signal ignored"), 5_000);
    assert.equal((await callPort(settings.readiness, "/ready"))?.status, 200);
    assert.doesNotMatch(program.output(), /Debugger listening/);
});

// Guards against a start that ends since nobody reads what it reports.
test("a program whose standard error is closed starts", async context => {
    const settings = await createEntrySettings(store.address);
    const program = start(context, settings.text);
    program.child.stderr?.destroy();
    await assertReady(program, settings);
});
