/**
 * Floods of bodies at the smallest machine: the process stays within the machine's memory.
 *
 * @module
 */
import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { after, before, test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { PlatformStoreStandIn } from "../standins/platform/store.js";
import { PlatformUpstreamStandIn } from "../standins/platform/upstream.js";
import { type BundledProgram, bundleProgram, NODE_OPTIONS } from "./support/bundledProgram.js";
import {
    createEntrySettings,
    type EntryProgram,
    startEntryProgram,
    waitUntilProgramReady,
} from "./support/entryProgram.js";
import { readResidentBytes } from "./support/processMemory.js";

/** Memory of the smallest machine. */
const MACHINE_MEGABYTES = 160;
const MACHINE_BYTES = MACHINE_MEGABYTES * 1_000_000;

const HOST_NAME = "site.example";
const BODY_LIMIT_BYTES = 4_194_304;
const POLL_MILLISECONDS = 10;
const JOINED_MILLISECONDS = 500;
const FLOOD_MILLISECONDS = 5_000;
const CHUNK_BYTES = 65_536;

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
    limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: BODY_LIMIT_BYTES,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: 15_000,
    },
};

let bundled: BundledProgram;

before(async () => {
    bundled = await bundleProgram();
});

after(() => bundled.close());

/** What one caller sends. */
interface Sending {
    /** Header lines of the body's form. */
    readonly framing: string;
    readonly pieces: readonly Buffer[];
}

/** A flood of callers with equal requests. */
interface Flood {
    readonly callers: number;
    readonly sending: Sending;
    readonly answersAfterMilliseconds: number;
    /** False where the requests are never whole. */
    readonly isWhole: boolean;
}

function withLength(lengthBytes: number, sentBytes = lengthBytes): Sending {
    return { framing: `Content-Length: ${lengthBytes}\r\n`, pieces: [Buffer.alloc(sentBytes, "y")] };
}

/** A body in chunks that does not end. */
function inChunks(count: number): Sending {
    const chunk = Buffer.from(`${CHUNK_BYTES.toString(16)}\r\n${"y".repeat(CHUNK_BYTES)}\r\n`);
    return { framing: "Transfer-Encoding: chunked\r\n", pieces: Array.from({ length: count }, () => chunk) };
}

const FLOODS: Readonly<Record<string, Flood>> = {
    "72 callers with bodies of 4.19 MB, and an engine that answers late": {
        callers: 72,
        sending: withLength(4_190_000),
        answersAfterMilliseconds: 2_500,
        isWhole: true,
    },
    "200 callers with bodies in chunks that do not end": {
        callers: 200,
        sending: inChunks(60),
        answersAfterMilliseconds: 0,
        isWhole: false,
    },
    "200 callers with bodies that lack one byte": {
        callers: 200,
        sending: withLength(4_190_000, 4_189_999),
        answersAfterMilliseconds: 0,
        isWhole: false,
    },
    "300 callers with bodies of 0.5 MB": {
        callers: 300,
        sending: withLength(500_000),
        answersAfterMilliseconds: 800,
        isWhole: true,
    },
};

/** Sends a request, and records the status of its answer. */
function send(port: number, id: string, { framing, pieces }: Sending, statuses: string[]): Socket {
    const socket = connect(port, "127.0.0.1");
    socket.on("error", () => undefined);
    socket.once("data", (bytes: Buffer) => statuses.push(bytes.toString("latin1", 9, 12)));
    socket.write([
        "POST /orders/1 HTTP/1.1",
        `Host: ${HOST_NAME}`,
        `Flamingospread-Request-Id: ${id}`,
        "Flamingospread-Deadline-Ms: 14000",
        `${framing}\r\n`,
    ].join("\r\n"));
    pieces.forEach(piece => socket.write(piece));
    return socket;
}

interface FloodOutcome {
    readonly peakBytes: number;
    readonly statuses: readonly string[];
    readonly program: EntryProgram;
}

async function flood(
    context: TestContext,
    { answersAfterMilliseconds, callers, sending }: Flood,
): Promise<FloodOutcome> {
    const store = await PlatformStoreStandIn.start();
    store.put("op/config", CONFIGURATION);
    const upstream = await PlatformUpstreamStandIn.start({
        id: "plain-1",
        slots: 400,
        behave: () => ({ type: "answer", afterMilliseconds: answersAfterMilliseconds }),
    });
    store.put("servers/plain-1", upstream.announcement("plain"));
    const settings = await createEntrySettings(store.address, { memoryMegabytes: MACHINE_MEGABYTES });
    const program = startEntryProgram(settings.text, [...NODE_OPTIONS, bundled.launcher]);
    const sockets: Socket[] = [];
    context.after(async () => {
        sockets.forEach(socket => socket.destroy());
        await program.close();
        await upstream.close();
        await store.close();
    });
    await waitUntilProgramReady(settings);
    await delay(JOINED_MILLISECONDS);
    let peakBytes = 0;
    const poll = setInterval(() => {
        peakBytes = Math.max(peakBytes, readResidentBytes(program.child.pid) ?? 0);
    }, POLL_MILLISECONDS);
    const statuses: string[] = [];
    for (let index = 0; index < callers; index += 1) {
        sockets.push(send(settings.callers, `flood-${index}`, sending, statuses));
    }
    await delay(FLOOD_MILLISECONDS);
    clearInterval(poll);
    return { peakBytes, statuses, program };
}

// Guards against a host that is killed for its memory since bodies are limited by a constant, not by its machine.
for (const [name, each] of Object.entries(FLOODS)) {
    test(`a machine's memory holds: ${name}`, async context => {
        const { peakBytes, program, statuses } = await flood(context, each);
        const count = (status: string): number => statuses.filter(other => other === status).length;
        context.diagnostic(
            `peak ${Math.round(peakBytes / 1_000_000)} MB, ${count("200")} answered, ${count("503")} refused`,
        );
        assert.equal(program.child.exitCode, null, program.output());
        assert.ok(peakBytes > 0 && peakBytes < MACHINE_BYTES, `${peakBytes} bytes were resident`);
        assert.ok(count("503") > 0);
        assert.equal(count("200") + count("503"), statuses.length);
        if (each.isWhole) {
            assert.ok(count("200") > 0);
            assert.equal(statuses.length, each.callers);
        }
    });
}
