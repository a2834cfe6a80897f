/**
 * A host as a process before an engine with large answers, its callers, and the memory that it takes.
 *
 * @module
 */
import { type TestContext } from "node:test";
import { PlatformStoreStandIn } from "../../standins/platform/store.js";
import { PlatformUpstreamStandIn } from "../../standins/platform/upstream.js";
import { type BundledProgram, NODE_OPTIONS } from "./bundledProgram.js";
import { createEntrySettings, startEntryProgram, waitUntilProgramReady } from "./entryProgram.js";
import { HOST_NAME } from "./entrySite.js";
import { residentMebibytes } from "./processMemory.js";
import { renderHead } from "./rawEngine.js";
import { startRawServer } from "./rawServer.js";

const POLL_MILLISECONDS = 20;

/** Time limit of the route. */
export const ROUTE_TIMEOUT_MILLISECONDS = 10_000;

/** A running host, and its peak of resident memory. */
export interface LoadedHost {
    readonly settings: { readonly callers: { readonly address: string; readonly port: number; }; };
    readonly peakMegabytes: () => number;
    readonly output: () => string;
}

/** Starts an engine that answers each request with a body of a size; returns its address. */
async function startLargeEngine(context: TestContext, answerBytes: number): Promise<string> {
    const body = Buffer.alloc(answerBytes, "x");
    const server = await startRawServer((socket, piece) => {
        for (const [, id] of piece.toString("latin1").matchAll(/flamingospread-request-id: (\S+)/gi)) {
            socket.write(renderHead(id ?? "", `Content-Length: ${body.length}\r\n`));
            socket.write(body);
        }
    });
    context.after(() => server.close());
    return server.address;
}

function createConfiguration(): object {
    return {
        version: 1,
        routes: [{
            name: "r",
            host: HOST_NAME,
            pathPrefix: "/large/",
            kind: "idempotent",
            timeoutMs: ROUTE_TIMEOUT_MILLISECONDS,
            targetLatencyMs: 400,
            priority: 0,
            service: "large",
            maxAttempts: 2,
        }],
        services: [{ name: "large", maxConnections: 400 }],
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    };
}

/**
 * Starts a host on a machine with little memory, whose engine answers with large bodies.
 *
 * @param context The test; all that is started ends with it.
 * @param bundled The program.
 * @param sizes Memory of the machine, and size of the answers.
 */
export async function startLoadedHost(
    context: TestContext,
    bundled: BundledProgram,
    { answerBytes, memoryMegabytes }: { readonly answerBytes: number; readonly memoryMegabytes: number; },
): Promise<LoadedHost> {
    const address = await startLargeEngine(context, answerBytes);
    return await startMeasuredHost(context, bundled, {
        address,
        configuration: createConfiguration(),
        memoryMegabytes,
        service: "large",
    });
}

/** A host's engine, configuration and machine. */
export interface MeasuredHostOptions {
    /** Address of its only engine. */
    readonly address: string;
    /** Service of the engine. */
    readonly service: string;
    readonly configuration: object;
    readonly memoryMegabytes: number;
}

/**
 * Starts a host before one engine, and watches its resident memory.
 *
 * @param context The test; all that is started ends with it.
 * @param bundled The program.
 * @param options Engine, configuration and memory of the machine.
 */
export async function startMeasuredHost(
    context: TestContext,
    bundled: BundledProgram,
    { address, configuration, memoryMegabytes, service }: MeasuredHostOptions,
): Promise<LoadedHost> {
    const store = await PlatformStoreStandIn.start();
    const announced = await PlatformUpstreamStandIn.start({ id: "i-large", slots: 500 });
    context.after(async () => {
        await announced.close();
        await store.close();
    });
    store.put("op/config", configuration);
    store.put("servers/i-large", { ...announced.announcement(service), address, slots: 1_000 });
    const { callers, readiness, text } = await createEntrySettings(store.address, { memoryMegabytes });
    const program = startEntryProgram(text, [...NODE_OPTIONS, bundled.launcher]);
    let peakMegabytes = 0;
    const poll = setInterval(() => {
        peakMegabytes = Math.max(peakMegabytes, residentMebibytes(program.child.pid));
    }, POLL_MILLISECONDS);
    context.after(() => {
        clearInterval(poll);
        return program.close();
    });
    await waitUntilProgramReady({ readiness });
    return {
        settings: { callers: { address: "127.0.0.1", port: callers } },
        peakMegabytes: () => peakMegabytes,
        output: program.output,
    };
}
