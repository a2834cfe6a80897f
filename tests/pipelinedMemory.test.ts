/**
 * Floods of pipelined requests at the smallest machine: the process stays within the machine's memory.
 *
 * @module
 */
import assert from "node:assert/strict";
import { type Socket } from "node:net";
import { after, before, test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { type BundledProgram, bundleProgram } from "./support/bundledProgram.js";
import { HOST_NAME, until } from "./support/entrySite.js";
import { type SmallHost, startSmallHost } from "./support/smallMachine.js";

const FLOOD_MILLISECONDS = 6_000;
const ANSWERS_AFTER_MILLISECONDS = 300;

const STATUSES = new Set(["200", "503"]);

let bundled: BundledProgram;
before(async () => {
    bundled = await bundleProgram();
});
after(() => bundled.close());

/** Callers that send all their requests at once. */
interface Flood {
    readonly connections: number;
    readonly requests: number;
    readonly headerBytes: number;
}

const FLOODS: Readonly<Record<string, Flood>> = {
    "150 connections of 60 requests with 15 KB of headers": { connections: 150, requests: 60, headerBytes: 15_000 },
};

/** A connection, and what was answered on it. */
interface Caller {
    readonly socket: Socket;
    readonly answer: () => string;
}

function render(id: string, headerBytes: number): string {
    return `GET /orders/1 HTTP/1.1\r\nHost: ${HOST_NAME}\r\nFlamingospread-Request-Id: ${id}\r\n`
        + `X-Long: ${"h".repeat(headerBytes)}\r\n\r\n`;
}

function send(host: SmallHost, name: string, { headerBytes, requests }: Omit<Flood, "connections">): Caller {
    const socket = host.connect();
    let answer = "";
    socket.on("data", (bytes: Buffer) => {
        answer += bytes.toString("latin1");
    });
    socket.write(Array.from({ length: requests }, (_, index) => render(`${name}-${index}`, headerBytes)).join(""));
    return { socket, answer: () => answer };
}

/** Returns the statuses on a connection, whose answers must be those of its first requests in order. */
function statusesInOrder({ answer }: Caller, name: string): string[] {
    const ids = [...answer().matchAll(/flamingospread-request-id: (\S+)/gi)].map(([, id]) => id);
    assert.deepEqual(ids, ids.map((_, index) => `${name}-${index}`));
    return [...answer().matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status = ""]) => status);
}

async function holdFlood(context: TestContext, flood: Flood): Promise<void> {
    const host = await startSmallHost(context, bundled, { answersAfterMilliseconds: ANSWERS_AFTER_MILLISECONDS });
    const callers = Array.from({ length: flood.connections }, (_, index) => send(host, `flood-${index}`, flood));
    await delay(FLOOD_MILLISECONDS);
    const statuses = callers.flatMap((caller, index) => statusesInOrder(caller, `flood-${index}`));
    const count = (status: string): number => statuses.filter(other => other === status).length;
    context.diagnostic(`${count("200")} answered, ${count("503")} refused`);
    host.assertWithinMachine();
    assert.deepEqual(statuses.filter(status => !STATUSES.has(status)), []);
    assert.ok(count("200") >= flood.connections, `${count("200")} answered`);
    callers.forEach(({ socket }) => socket.destroy());
    await delay(2 * ANSWERS_AFTER_MILLISECONDS);
    const last = send(host, "after", { requests: 1, headerBytes: 10 });
    await until(() => last.answer() !== "");
    assert.deepEqual(statusesInOrder(last, "after"), ["200"]);
}

// Guards against a host that is killed for its memory since it holds all that Node's parser emits of a connection.
for (const [name, flood] of Object.entries(FLOODS)) {
    test(`a machine's memory holds: ${name}`, context => holdFlood(context, flood));
}
