import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { createUpstreamAgent } from "./upstreamAgent.js";
import { callUpstream, type UpstreamCall } from "./upstreamCall.js";

/** More than the buffers of a connection hold. */
const BODY_BYTES = 32_000_000;

const HOLD_MILLISECONDS = 200;

interface HeldCall {
    readonly call: UpstreamCall;
    /** Number of times that the body was released. */
    readonly releases: () => number;
    readonly released: Promise<void>;
    /** The upstream's connection, from which it reads nothing yet. */
    readonly socket: Socket;
}

/** Sends a body to an upstream that reads none of it. */
async function callHeld(context: TestContext): Promise<HeldCall> {
    const server = createServer({ pauseOnConnect: true });
    const sockets: Socket[] = [];
    server.on("connection", socket => {
        socket.on("error", () => undefined);
        sockets.push(socket);
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const agent = createUpstreamAgent(4);
    let releases = 0;
    let call: UpstreamCall | undefined;
    const released = new Promise<void>(resolve => {
        call = callUpstream({
            acts: { afterReading: step => void setImmediate(step) },
            agent,
            address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
            method: "POST",
            path: "/",
            headers: () => ["content-length", String(BODY_BYTES)],
            body: Buffer.alloc(BODY_BYTES, "y"),
            holdBody: () => () => {
                releases += 1;
                resolve();
            },
            connectTimeoutMilliseconds: 1_000,
            onConnected: () => call?.send(),
            onHead: () => undefined,
            onData: () => undefined,
            onEnd: () => undefined,
            onFailure: () => undefined,
        });
    });
    context.after(() => {
        agent.destroy();
        sockets.forEach(socket => socket.destroy());
        server.close();
    });
    await delay(HOLD_MILLISECONDS);
    const [socket] = sockets;
    assert.ok(call !== undefined && socket !== undefined);
    return { call, releases: () => releases, released, socket };
}

test("a body that its upstream has not taken is released", async context => {
    const { call, released, releases, socket } = await callHeld(context);
    assert.deepEqual([releases(), call.holdsBody], [0, true]);
    socket.resume();
    await released;
    assert.equal(call.holdsBody, false);
    socket.end("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    await delay(HOLD_MILLISECONDS);
    assert.equal(releases(), 1);
});

const ENDINGS: Readonly<Record<string, (held: HeldCall) => void>> = {
    "is cancelled": ({ call }) => call.cancel(),
    "loses its connection": ({ socket }) => void socket.resetAndDestroy(),
};

for (const [name, end] of Object.entries(ENDINGS)) {
    test(`the body of a call that ${name} while it is written is kept for ever, or freed while it is read`, async context => {
        const held = await callHeld(context);
        end(held);
        assert.equal(held.releases(), 0, "the connection may read it still");
        await held.released;
        await delay(HOLD_MILLISECONDS);
        assert.equal(held.releases(), 1);
    });
}

test("the body of a call that is cancelled before it was sent is kept for ever", async context => {
    const agent = createUpstreamAgent(4);
    context.after(() => agent.destroy());
    let releases = 0;
    const call = callUpstream({
        acts: { afterReading: step => void setImmediate(step) },
        agent,
        address: "127.0.0.1:9",
        method: "POST",
        path: "/",
        headers: () => [],
        body: Buffer.alloc(1),
        holdBody: () => () => void (releases += 1),
        connectTimeoutMilliseconds: 1_000,
        onConnected: () => undefined,
        onHead: () => undefined,
        onData: () => undefined,
        onEnd: () => undefined,
        onFailure: () => undefined,
    });
    call.cancel();
    assert.equal(releases, 1);
    await delay(HOLD_MILLISECONDS);
    assert.equal(releases, 1);
});

test("the body of a call that cannot begin is held for ever", () => {
    const agent = createUpstreamAgent(4);
    let isHeld = false;
    assert.throws(() =>
        callUpstream({
            acts: { afterReading: step => void setImmediate(step) },
            agent,
            address: "127.0.0.1:9",
            method: "GET",
            path: "/\t",
            headers: () => [],
            body: Buffer.alloc(1),
            holdBody: () => {
                isHeld = true;
                return () => undefined;
            },
            connectTimeoutMilliseconds: 1_000,
            onConnected: () => undefined,
            onHead: () => undefined,
            onData: () => undefined,
            onEnd: () => undefined,
            onFailure: () => undefined,
        })
    );
    assert.equal(isHeld, false);
});
