/**
 * Upstreams whose answers never end: the process must cut them off before they exhaust its memory.
 *
 * @module
 */
import assert from "node:assert/strict";
import { createServer, type Server, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { PlatformStoreStandIn } from "../standins/platform/store.js";
import { PlatformUpstreamStandIn } from "../standins/platform/upstream.js";
import { bundleProgram, NODE_OPTIONS } from "./support/bundledProgram.js";
import { createEntrySettings, startEntryProgram, waitUntilProgramReady } from "./support/entryProgram.js";
import { callHost, HOST_NAME } from "./support/entrySite.js";
import { residentMebibytes } from "./support/processMemory.js";

/** Memory of the smallest machines. */
const MAXIMUM_MEMORY_MEGABYTES = 250;

/** Each request must end by its route's timeout, with half a second of tolerance. */
const ROUTE_TIMEOUT_MILLISECONDS = 3_000;
const TIMEOUT_TOLERANCE_MILLISECONDS = 500;

const REQUESTS_PER_KIND = 25;

/** Size of each piece that an upstream sends, and the interval between pieces; 80 megabytes a second in total. */
const PIECE_BYTES = 4 * 1024;
const SEND_INTERVAL_MILLISECONDS = 10;

const answerHead = (id: string, type = "application/octet-stream"): string =>
    `HTTP/1.1 200 OK\r\nFlamingospread-Request-Id: ${id}\r\nFlamingospread-Response-Signature: s\r\nContent-Type: ${type}\r\n`;

/** Beginning of an answer, and the text repeated after it until the caller closes the connection. */
interface EndlessAnswer {
    readonly first: (requestId: string) => string;
    readonly repeated: string;
}

const ENDLESS_ANSWERS: Readonly<Record<string, EndlessAnswer>> = {
    "head": { first: id => answerHead(id), repeated: `X-More: ${"h".repeat(1_000)}\r\n` },
    "interim": { first: () => "", repeated: "HTTP/1.1 102 Processing\r\n\r\n".repeat(50) },
    "body": { first: id => `${answerHead(id)}\r\n`, repeated: "b".repeat(PIECE_BYTES) },
    "length": {
        first: id => `${answerHead(id)}Content-Length: 900000000000\r\n\r\n`,
        repeated: "l".repeat(PIECE_BYTES),
    },
    "extension": {
        first: id => `${answerHead(id)}Transfer-Encoding: chunked\r\n\r\n5;`,
        repeated: "x".repeat(PIECE_BYTES),
    },
    "trailer": {
        first: id => `${answerHead(id)}Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n`,
        repeated: `X-Trailer: ${"t".repeat(1_000)}\r\n`,
    },
    "nothing": { first: () => "", repeated: "no answer at all ".repeat(1_000) },
    "event": { first: id => `${answerHead(id, "text/event-stream")}\r\n`, repeated: `data: ${"e".repeat(4_000)}\n` },
};

/** Sends a piece every few milliseconds until the connection closes, waiting while the other side does not read. */
function sendEndlessly(socket: Socket, text: string): void {
    const timer = setInterval(() => {
        if (socket.writableLength < PIECE_BYTES) {
            socket.write(text);
        }
    }, SEND_INTERVAL_MILLISECONDS);
    socket.on("close", () => clearInterval(timer));
}

/** Starts a server that answers each request endlessly; returns its address. */
async function startEndless(context: TestContext, { repeated, first }: EndlessAnswer): Promise<string> {
    const sockets = new Set<Socket>();
    const server: Server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("close", () => sockets.delete(socket));
        socket.once("data", (piece: Buffer) => {
            const id = /flamingospread-request-id: (\S+)/i.exec(piece.toString("latin1"))?.[1] ?? "";
            socket.write(first(id));
            sendEndlessly(socket, repeated);
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    context.after(() => {
        sockets.forEach(socket => socket.destroy());
        server.close();
    });
    const address = server.address();
    assert.ok(address !== null && typeof address === "object");
    return `127.0.0.1:${address.port}`;
}

function configure(store: PlatformStoreStandIn): void {
    const names = ["sound", ...Object.keys(ENDLESS_ANSWERS)];
    store.put("op/config", {
        version: 1,
        routes: names.map(name => ({
            name,
            host: HOST_NAME,
            pathPrefix: `/${name}/`,
            kind: name === "event" ? "stream" : "idempotent",
            timeoutMs: ROUTE_TIMEOUT_MILLISECONDS,
            targetLatencyMs: 200,
            priority: 0,
            service: name,
            maxAttempts: 2,
        })),
        services: names.map(name => ({ name, maxConnections: 400 })),
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    });
}

test("endless answers are cut off, their callers are answered in time, and memory use fits the smallest machine", async context => {
    const bundled = await bundleProgram();
    const store = await PlatformStoreStandIn.start();
    const healthyUpstream = await PlatformUpstreamStandIn.start({ id: "i-sound", slots: 500 });
    context.after(async () => {
        await healthyUpstream.close();
        await store.close();
        bundled.close();
    });
    configure(store);
    store.put("servers/i-sound", healthyUpstream.announcement("sound"));
    for (const [name, answer] of Object.entries(ENDLESS_ANSWERS)) {
        const address = await startEndless(context, answer);
        store.put(`servers/i-${name}`, { ...healthyUpstream.announcement(name), address, slots: 1_000 });
    }
    const { callers, readiness, text } = await createEntrySettings(store.address);
    const program = startEntryProgram(text, [...NODE_OPTIONS, bundled.launcher]);
    context.after(() => program.close());
    await waitUntilProgramReady({ readiness });
    const host = { settings: { callers: { address: "127.0.0.1", port: callers } } };
    let peakMegabytes = 0;
    const sampler = setInterval(() => {
        peakMegabytes = Math.max(peakMegabytes, residentMebibytes(program.child.pid));
    }, 50);
    context.after(() => clearInterval(sampler));
    const names = Object.keys(ENDLESS_ANSWERS).flatMap(name => Array.from({ length: REQUESTS_PER_KIND }, () => name));
    const answers = await Promise.all(
        names.map(async name => ({ name, ...await callHost(host, { path: `/${name}/1` }) })),
    );
    for (const { name, status, tookMilliseconds, isComplete } of answers) {
        const isFailure = status === undefined || status >= 500;
        assert.ok(isFailure || !isComplete, `${name}: status ${status} appears complete`);
        const limit = ROUTE_TIMEOUT_MILLISECONDS + TIMEOUT_TOLERANCE_MILLISECONDS;
        assert.ok(tookMilliseconds <= limit, `${name}: ${Math.round(tookMilliseconds)} ms`);
    }
    assert.equal((await callHost(host, { path: "/sound/1" })).status, 200);
    clearInterval(sampler);
    context.diagnostic(`${answers.length} answers, ${Math.round(peakMegabytes)} MB at most`);
    assert.ok(peakMegabytes < MAXIMUM_MEMORY_MEGABYTES, `${Math.round(peakMegabytes)} MB`);
});
