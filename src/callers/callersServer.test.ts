/**
 * The server for callers beside a stop.
 *
 * @module
 */
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { afterEach, beforeEach, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { type OrderOutcome } from "../generated/peers.js";
import { limitsSchema } from "../generated/settings.js";
import { type CallersServer, startCallersServer } from "./callersServer.js";
import { type CallerHandlers } from "./types.js";

/** More than fits into the buffers of a connection. */
const LARGE_BYTES = 20_000_000;
const READ_PAUSE_MILLISECONDS = 400;
const SLOW_ORDER_MILLISECONDS = 200;

/** Far less than the time after which a server closes connections on which no request arrives. */
const STOP_MILLISECONDS = 3_000;

function answerWith(body: string): OrderOutcome {
    return { type: "answered", result: { status: 200, contentType: "text/plain", body } };
}

const handlers: CallerHandlers = {
    deployment: () => ({ models: [] }) as never,
    newWorkRefusal: () => undefined,
    addresses: () => assert.fail("not asked for"),
    status: () => ({}),
    drain: () => undefined,
    createIdentifier: () => "r-1",
    recordRefusal: () => undefined,
    submit: () => assert.fail("not asked for"),
    order: ({ call }, onOutcome) => {
        const isSlow = call === "slow";
        setTimeout(
            () => onOutcome(answerWith(isSlow ? "slow answer" : "x".repeat(LARGE_BYTES))),
            isSlow ? SLOW_ORDER_MILLISECONDS : 0,
        );
        return { cancel: () => undefined };
    },
};

function renderOrder(call: string): string {
    return `POST /v1/services/plain/${call} HTTP/1.1\r\nHost: site.example\r\nContent-Length: 0\r\n\r\n`;
}

/** Returns what the server sends until it closes the connection. */
function readAll(socket: Socket): Promise<string> {
    const pieces: Buffer[] = [];
    socket.on("data", piece => pieces.push(piece));
    return new Promise(resolve => {
        socket.on("error", () => undefined);
        socket.on("close", () => resolve(Buffer.concat(pieces).toString("latin1")));
    });
}

let server: CallersServer;

beforeEach(async () => {
    server = await startCallersServer({ address: "127.0.0.1", port: 0 }, { handlers, limits: limitsSchema.parse({}) });
});

afterEach(() => {
    server.abort();
});

test("a large answer that its caller reads slowly is whole although the server stops", async () => {
    const socket = connect(server.port, "127.0.0.1");
    const received = readAll(socket);
    socket.write(renderOrder("large"));
    await delay(READ_PAUSE_MILLISECONDS / 4);
    socket.pause();
    await delay(READ_PAUSE_MILLISECONDS / 2);
    const closed = server.close();
    await delay(READ_PAUSE_MILLISECONDS);
    socket.resume();
    const bytes = await received;
    assert.ok(bytes.length >= LARGE_BYTES, `${bytes.length} of ${LARGE_BYTES} bytes`);
    await closed;
});

test("requests behind a large answer that is read slowly are answered although the server stops", async () => {
    const socket = connect(server.port, "127.0.0.1");
    const received = readAll(socket);
    socket.pause();
    socket.write(renderOrder("large") + renderOrder("slow") + renderOrder("slow"));
    await delay(READ_PAUSE_MILLISECONDS);
    const closed = server.close();
    await delay(READ_PAUSE_MILLISECONDS);
    socket.resume();
    const answers = (await received).split("HTTP/1.1 200").length - 1;
    assert.equal(answers, 3);
    await closed;
});

test("a stopping server does not wait for connections that are idle", async () => {
    const socket = connect(server.port, "127.0.0.1");
    const received = readAll(socket);
    socket.write(renderOrder("slow"));
    await delay(2 * SLOW_ORDER_MILLISECONDS);
    await server.close();
    assert.match(await received, /slow answer/);
});

test("a stopping server does not wait for a connection on which nothing was sent", async () => {
    const socket = connect(server.port, "127.0.0.1");
    const received = readAll(socket);
    await once(socket, "connect");
    const closed = server.close().then(() => true);
    assert.equal(await Promise.race([closed, delay(STOP_MILLISECONDS, false)]), true);
    assert.equal(await received, "");
});
