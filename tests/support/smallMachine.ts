/**
 * A host as a process on the smallest machine, before an engine that answers late, and the memory that it takes.
 *
 * @module
 */
import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { findFreePorts } from "../../standins/freePorts.js";
import { PlatformStoreStandIn } from "../../standins/platform/store.js";
import { PlatformUpstreamStandIn } from "../../standins/platform/upstream.js";
import { type BundledProgram, NODE_OPTIONS } from "./bundledProgram.js";
import { createEntrySettings, type EntryProgram, startEntryProgram, waitUntilProgramReady } from "./entryProgram.js";
import { HOST_NAME } from "./entrySite.js";
import { readResidentBytes } from "./processMemory.js";

/** Memory of the smallest machine. */
const MACHINE_MEGABYTES = 160;
const MACHINE_BYTES = MACHINE_MEGABYTES * 1_000_000;

const POLL_MILLISECONDS = 10;
const JOINED_MILLISECONDS = 500;

const CONFIGURATION = {
    version: 1,
    routes: [{
        name: "orders",
        host: HOST_NAME,
        pathPrefix: "/orders/",
        kind: "idempotent",
        timeoutMs: 15_000,
        targetLatencyMs: 400,
        priority: 0,
        service: "plain",
        maxAttempts: 2,
        sticky: false,
        resumable: false,
    }],
    services: [{ name: "plain", healthPath: "/healthz", maxConnections: 400, protocol: "h1", tls: false }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
};

/** The listening ports of a host. */
export type PortName = "callers" | "directory" | "metrics" | "readiness" | "state";

/** A running host on the smallest machine. */
export interface SmallHost {
    readonly program: EntryProgram;
    readonly upstream: PlatformUpstreamStandIn;
    readonly ports: Readonly<Record<PortName, number>>;
    /** Opens a connection to the host, to the port for callers by default; it ends with the test. */
    connect(port?: PortName): Socket;
    /** Fails where the process has ended, or where its resident memory was ever beyond the machine's. */
    assertWithinMachine(): void;
}

/**
 * Starts a host on the smallest machine.
 *
 * @param context The test; all that is started ends with it.
 * @param bundled The program.
 * @param options Time after which the engine answers.
 */
export async function startSmallHost(
    context: TestContext,
    bundled: BundledProgram,
    { answersAfterMilliseconds }: { readonly answersAfterMilliseconds: number; },
): Promise<SmallHost> {
    const store = await PlatformStoreStandIn.start();
    store.put("op/config", CONFIGURATION);
    const upstream = await PlatformUpstreamStandIn.start({
        id: "plain-1",
        slots: 400,
        behave: () => ({ type: "answer", afterMilliseconds: answersAfterMilliseconds }),
    });
    store.put("servers/plain-1", upstream.announcement("plain"));
    const settings = await createEntrySettings(store.address, { memoryMegabytes: MACHINE_MEGABYTES });
    const { callers, directory, readiness, state } = settings;
    const [metrics = 0] = await findFreePorts(1);
    const ports = { callers, directory, metrics, readiness, state };
    const environment = { FLAMINGOSPREAD_METRICS_PORT: String(metrics) };
    const program = startEntryProgram(settings.text, [...NODE_OPTIONS, bundled.launcher], environment);
    const sockets: Socket[] = [];
    let peakBytes = 0;
    const poll = setInterval(() => {
        peakBytes = Math.max(peakBytes, readResidentBytes(program.child.pid) ?? 0);
    }, POLL_MILLISECONDS);
    context.after(async () => {
        clearInterval(poll);
        sockets.forEach(socket => socket.destroy());
        await program.close();
        await upstream.close();
        await store.close();
    });
    await waitUntilProgramReady(settings);
    await delay(JOINED_MILLISECONDS);
    return {
        program,
        upstream,
        ports,
        connect: (port = "callers") => {
            const socket = connect(ports[port], "127.0.0.1");
            socket.on("error", () => undefined);
            sockets.push(socket);
            return socket;
        },
        assertWithinMachine: () => {
            context.diagnostic(`${Math.round(peakBytes / 1_000_000)} MB at most`);
            assert.equal(program.child.exitCode, null, program.output());
            assert.ok(peakBytes > 0 && peakBytes < MACHINE_BYTES, `${peakBytes} bytes were resident`);
        },
    };
}
