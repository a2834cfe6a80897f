/**
 * Engines whose answers come in very small pieces: a host holds, reads and passes them on at a cost that follows from
 * their bytes, not from the number of the pieces.
 *
 * @module
 */
import assert from "node:assert/strict";
import { once } from "node:events";
import { after, before, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { type BundledProgram, bundleProgram } from "./support/bundledProgram.js";
import { callHost } from "./support/entrySite.js";
import { type Answer, ROUTE_TIMEOUT_MILLISECONDS, startObservedSite } from "./support/observedSite.js";
import { renderHead } from "./support/rawEngine.js";

const HEXADECIMAL = 16;

/** Size of a write of an answer without end. */
const WRITE_BYTES = 64 * 1024;

/** Time after the time limit of a route in which its callers get their final answers. */
const ANSWER_TOLERANCE_MILLISECONDS = 2_000;

let bundled: BundledProgram;

before(async () => {
    bundled = await bundleProgram();
});

after(() => bundled.close());

const CHUNKED = "Transfer-Encoding: chunked\r\n";

const frame = (data: string): string => `${data.length.toString(HEXADECIMAL)}\r\n${data}\r\n`;

/** Sends chunks of the same data as fast as they are taken, until the caller closes. */
const answerEndlessly = (data: string): Answer => (socket, requestId) => {
    const chunk = frame(data);
    const piece = chunk.repeat(Math.ceil(WRITE_BYTES / chunk.length));
    const send = async (): Promise<void> => {
        while (!socket.destroyed) {
            if (!socket.write(piece)) {
                await Promise.race([once(socket, "drain"), once(socket, "close")]).catch(() => undefined);
            }
        }
    };
    socket.write(renderHead(requestId, CHUNKED));
    void send();
};

/** Sends a whole body in chunks of a size. */
const answerInChunks = (body: string, chunkBytes: number): Answer => (socket, requestId) => {
    const chunks: string[] = [];
    for (let at = 0; at < body.length; at += chunkBytes) {
        chunks.push(frame(body.slice(at, at + chunkBytes)));
    }
    socket.write(renderHead(requestId, CHUNKED));
    socket.write(`${chunks.join("")}0\r\n\r\n`);
};

const createBody = (bytes: number): string => Array.from({ length: bytes }, (_, index) => index % 10).join("");

interface Endless {
    readonly path: string;
    readonly data: string;
    readonly requests: number;
}

const ENDLESS: Readonly<Record<string, Endless>> = {
    "answers in chunks of one byte": { path: "/read/1", data: "x", requests: 1 },
    "40 answers in chunks of one byte": { path: "/read/1", data: "x", requests: 40 },
    "answers in chunks of 100 bytes": { path: "/read/1", data: "x".repeat(100), requests: 3 },
    "events in chunks of two bytes": { path: "/stream/1", data: "x\n", requests: 2 },
    "streams in chunks of one byte": { path: "/stream/1", data: "x", requests: 2 },
    "40 streams of very small events": { path: "/stream/1", data: "x\n\n", requests: 40 },
    "streams of very small events": { path: "/stream/1", data: "x\n\n", requests: 2 },
};

// Guards against hosts that end, or answer nobody for seconds, while an engine sends such an answer.
for (const [name, { data, path, requests }] of Object.entries(ENDLESS)) {
    test(`${name} without end neither end a host nor keep it from its other callers`, async context => {
        const site = await startObservedSite(context, bundled, answerEndlessly(data));
        const answers = Promise.all(Array.from({ length: requests }, () => callHost(site, { path })));
        await Promise.race([answers, delay(ROUTE_TIMEOUT_MILLISECONDS + ANSWER_TOLERANCE_MILLISECONDS)]);
        site.assertHeld();
        assert.ok((await answers).every(({ isComplete, status }) => status !== 200 || !isComplete));
    });
}

const SOUND: Readonly<Record<string, { readonly path: string; readonly body: string; readonly chunkBytes: number; }>> =
    {
        "an answer of 200,000 bytes in chunks of one byte": {
            path: "/read/1",
            body: createBody(200_000),
            chunkBytes: 1,
        },
        "an answer of 1,000,000 bytes in chunks of one byte": {
            path: "/read/1",
            body: createBody(1_000_000),
            chunkBytes: 1,
        },
        "an answer of 1,000,000 bytes in chunks of three bytes": {
            path: "/read/1",
            body: createBody(1_000_000),
            chunkBytes: 3,
        },
        "an event of 250,000 bytes in chunks of two bytes": {
            path: "/stream/1",
            body: `id: 1\n${"x\n".repeat(125_000)}\n`,
            chunkBytes: 2,
        },
        "20,000 events in chunks of two bytes": {
            path: "/stream/1",
            body: Array.from({ length: 20_000 }, (_, index) => `id: ${index + 1}\n\n`).join(""),
            chunkBytes: 2,
        },
    };

// Guards against callers whose connection is reset, or who get nothing, though the engine's answer is sound.
for (const [name, { body, chunkBytes, path }] of Object.entries(SOUND)) {
    test(`${name} reaches its caller byte for byte`, async context => {
        const site = await startObservedSite(context, bundled, answerInChunks(body, chunkBytes));
        const answer = await callHost(site, { path });
        assert.equal(answer.status, 200);
        assert.ok(answer.isComplete);
        assert.ok(answer.body === body, `${answer.body.length} bytes of ${body.length}, or other ones`);
        site.assertHeld();
    });
}
