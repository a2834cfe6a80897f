import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { createUpstreamAgent } from "./upstreamAgent.js";
import { callUpstream } from "./upstreamCall.js";

/** Small enough to be read by the time that the connection ends. */
const BODY_BYTES = 40_000;
const PIECE_BYTES = 10_000;
const PAUSE_MILLISECONDS = 150;

const LENGTH = `Content-Length: ${BODY_BYTES}\r\n`;
const CHUNKS = "Transfer-Encoding: chunked\r\n";

interface RawEngineAnswer {
    readonly framing: string;
    readonly body: string;
    readonly end: (socket: Socket) => void;
}

const bytes = (count: number): string => "x".repeat(count);
const chunk = (count: number): string => `${count.toString(16)}\r\n${bytes(count)}\r\n`;
const endOrderly = (socket: Socket): void => void socket.end();
const reset = (socket: Socket): void => void socket.resetAndDestroy();

/** Returns what a call received that is paused at each piece, and how it ended. */
async function receivePaused(context: TestContext, { body, end, framing }: RawEngineAnswer): Promise<string> {
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", () => {
            socket.write(`HTTP/1.1 200 OK\r\nConnection: close\r\n${framing}\r\n${body.slice(0, PIECE_BYTES)}`);
            setTimeout(() => socket.write(body.slice(PIECE_BYTES), () => end(socket)), PAUSE_MILLISECONDS / 3);
        });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const agent = createUpstreamAgent(4);
    context.after(() => {
        agent.destroy();
        server.close();
    });
    let receivedBytes = 0;
    const outcome = await new Promise<string>(resolve => {
        const call = callUpstream({
            acts: { afterReading: step => void setImmediate(step) },
            agent,
            address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
            method: "GET",
            path: "/",
            headers: () => ["host", "shop"],
            body: Buffer.alloc(0),
            connectTimeoutMilliseconds: 1_000,
            onConnected: () => call.send(),
            onHead: () => undefined,
            onData: piece => {
                receivedBytes += piece.length;
                call.pause();
                setTimeout(() => call.resume(), PAUSE_MILLISECONDS);
            },
            onEnd: () => resolve("answered"),
            onFailure: failure => resolve(failure),
        });
    });
    return `${outcome} ${receivedBytes}`;
}

const WHOLE: Readonly<Record<string, RawEngineAnswer>> = {
    "with a length": { framing: LENGTH, body: bytes(BODY_BYTES), end: endOrderly },
    "in chunks": { framing: CHUNKS, body: `${chunk(BODY_BYTES)}0\r\n\r\n`, end: endOrderly },
    "that ends with its connection": { framing: "", body: bytes(BODY_BYTES), end: endOrderly },
};

for (const [name, answer] of Object.entries(WHOLE)) {
    test(`an answer ${name} fails though it is whole, as its connection ends while it is not read`, async context => {
        assert.equal(await receivePaused(context, answer), `answered ${BODY_BYTES}`);
    });
}

test("an answer with a length fails though it is whole, as its connection is reset while it is not read", async context => {
    const end = (socket: Socket): void => void setTimeout(() => reset(socket), PAUSE_MILLISECONDS / 3);
    const answer = { framing: LENGTH, body: bytes(BODY_BYTES), end };
    assert.equal(await receivePaused(context, answer), `answered ${BODY_BYTES}`);
});

const TRUNCATED: Readonly<Record<string, RawEngineAnswer>> = {
    "with a length": { framing: LENGTH, body: bytes(BODY_BYTES - 1), end: endOrderly },
    "in chunks": { framing: CHUNKS, body: chunk(BODY_BYTES), end: endOrderly },
    "that ends with its connection": { framing: "", body: bytes(BODY_BYTES), end: reset },
};

for (const [name, answer] of Object.entries(TRUNCATED)) {
    test(`a truncated answer ${name} looks whole, as its connection ends while it is not read`, async context => {
        assert.match(await receivePaused(context, answer), /^connection-lost/);
    });
}
