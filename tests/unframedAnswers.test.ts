/**
 * Answers that come with neither a length nor chunks and end with their connection: from upstreams, and to HTTP/1.0
 * callers, which can be told an end in no other way.
 *
 * @module
 */
import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { after, before, test } from "node:test";
import { type Behaviour } from "../standins/platform/upstream.js";
import { callHost, EntrySite, HOST_NAME, type SiteHost, until, waitUntilReady } from "./support/entrySite.js";
import { executionsOf, ScriptedBehaviours } from "./support/scriptedBehaviours.js";

const EVENT_COUNT = 8;

/** The event within which streams are broken off. */
const BROKEN_EVENT = 5;

/** Ends of a stream that are no event's end. */
const ENDS_WITHIN_EVENT = [`id: ${BROKEN_EVENT}\nda`, `id: ${BROKEN_EVENT}\ndata: 5`, `id: ${BROKEN_EVENT}\ndata: 5\n`];

const UNFRAMED_STREAM: Behaviour = { type: "stream", events: EVENT_COUNT, isUnframed: true };
const WHOLE_STREAM: Behaviour = { type: "stream", events: EVENT_COUNT };
const PLAIN_ANSWER: Behaviour = { type: "answer" };

const script = new ScriptedBehaviours(PLAIN_ANSWER);
let site: EntrySite;
let host: SiteHost;

function breakWithin(breakText: string, isUnframed = true): Behaviour {
    return { type: "stream", events: EVENT_COUNT, breakAfter: BROKEN_EVENT, breakText, breakBy: "end", isUnframed };
}

function renderEvents(count: number): string {
    return Array.from({ length: count }, (_, index) => `id: ${index + 1}\ndata: ${index + 1}\n\n`).join("");
}

/** What a caller received on a connection until it ended. */
interface RawAnswer {
    readonly head: string;
    readonly body: string;
    /** False where the host's side ended in order. */
    readonly wasReset: boolean;
}

function renderRequest(path: string, id: string, version: string, headers = ""): string {
    const method = path.startsWith("/reads/") ? "GET" : "POST";
    return `${method} ${path} HTTP/${version}\r\nHost: ${HOST_NAME}\r\nFlamingospread-Request-Id: ${id}\r\n`
        + `Content-Length: 0\r\n${headers}\r\n`;
}

function connectToHost(): Socket {
    return connect(host.settings.callers.port, host.settings.callers.address);
}

/** Sends a request, and reads until its connection ends. */
function readUntilEnd(socket: Socket, request: string): Promise<RawAnswer> {
    let text = "";
    let wasReset = false;
    socket.on("data", (piece: Buffer) => {
        text += piece.toString();
    });
    socket.on("error", () => {
        wasReset = true;
    });
    socket.write(request);
    return new Promise(resolve => {
        socket.on("close", () => {
            const [head = "", ...body] = text.split("\r\n\r\n");
            resolve({ head, body: body.join("\r\n\r\n"), wasReset });
        });
    });
}

function callAsOldCaller(path: string, id: string, headers = ""): Promise<RawAnswer> {
    return readUntilEnd(connectToHost(), renderRequest(path, id, "1.0", headers));
}

/** Asserts that an answer to an HTTP/1.0 caller has no chunks and is a success. */
function assertUnchunked({ head }: RawAnswer): void {
    assert.match(head, /^HTTP\/1\.[01] 200 /);
    assert.doesNotMatch(head, /transfer-encoding/i);
}

before(async () => {
    site = await EntrySite.start();
    site.configure([
        { pathPrefix: "/reads/", kind: "idempotent" },
        { pathPrefix: "/orders/", kind: "non_idempotent" },
        { pathPrefix: "/streams/", kind: "stream", resumable: true, targetGapMs: 150, timeoutMs: 15_000 },
        { pathPrefix: "/once/", kind: "stream", resumable: false },
    ]);
    for (const id of ["i-one", "i-two", "i-three"]) {
        await site.addUpstream({ id, behave: script.behave, slots: 50 });
    }
    host = await site.addHost("entry-1");
    await waitUntilReady(host);
    await until(async () => (await callHost(host, { path: "/reads/1" })).status === 200);
});

after(async () => {
    await site.close();
});

test("the stand-in's unframed answers name no length, chunks or closing, so that these tests show something", async () => {
    const [upstream] = site.upstreams;
    assert.ok(upstream !== undefined);
    const [address, port] = upstream.address.split(":");
    for (const behaviour of [{ type: "answer", isUnframed: true }, UNFRAMED_STREAM] as const) {
        const instance = `Flamingospread-Expect-Instance: ${upstream.id}\r\n`;
        const request = renderRequest("/reads/1", script.add(behaviour), "1.1", instance);
        const { head, wasReset } = await readUntilEnd(connect(Number(port), address), request);
        assert.match(head, /^HTTP\/1\.1 200 /);
        assert.doesNotMatch(head, /content-length|transfer-encoding|connection:/i);
        assert.equal(wasReset, false);
    }
});

test("an unframed answer that ends with its connection is not taken for a lost one, nor run again", async () => {
    for (const headers of [{}, { Connection: "close" }]) {
        for (const path of ["/reads/1", "/orders/1"]) {
            const id = script.add({ type: "answer", body: "forty reels", isUnframed: true, headers });
            const { body, isComplete, status } = await callHost(host, { path, method: "POST", id });
            assert.deepEqual([status, body, isComplete], [200, "forty reels", true], path);
            assert.equal(executionsOf(site, id).length, 1);
        }
    }
});

test("an empty unframed answer is not taken for a lost one", async () => {
    const id = script.add({ type: "answer", body: "", isUnframed: true });
    const { body, isComplete, status } = await callHost(host, { path: "/orders/1", method: "POST", id });
    assert.deepEqual([status, body, isComplete], [200, "", true]);
});

test("an unframed stream that ends at an event's end is whole, and is not resumed", async () => {
    for (const path of ["/streams/1", "/once/1"]) {
        const id = script.add(UNFRAMED_STREAM);
        const { body, isComplete, status } = await callHost(host, { path, method: "POST", id });
        assert.deepEqual([status, body, isComplete], [200, renderEvents(EVENT_COUNT), true], path);
        assert.equal(executionsOf(site, id).length, 1);
    }
});

test("a stream that ends inside an event is resumed after the last whole event, and no part is sent twice", async () => {
    for (const isUnframed of [true, false]) {
        for (const text of ENDS_WITHIN_EVENT) {
            const id = script.add(breakWithin(text, isUnframed), WHOLE_STREAM);
            const { body, isComplete, status } = await callHost(host, { path: "/streams/1", method: "POST", id });
            assert.deepEqual([status, body, isComplete], [200, renderEvents(EVENT_COUNT), true], text);
            const resumedAfter = executionsOf(site, id).map(execution => execution.headers["last-event-id"]);
            assert.deepEqual(resumedAfter.sort(), [String(BROKEN_EVENT - 1), undefined]);
        }
    }
});

test("a stream that ends inside an event and cannot be resumed does not look complete", async () => {
    for (const isUnframed of [true, false]) {
        for (const text of ENDS_WITHIN_EVENT) {
            const id = script.add(breakWithin(text, isUnframed));
            const answer = await callHost(host, { path: "/once/1", method: "POST", id });
            assert.equal(answer.isComplete, false, text);
            assert.equal(executionsOf(site, id).length, 1);
        }
    }
});

test("an unframed answer whose connection is reset after its last byte is not passed on as whole", async () => {
    const cut: Behaviour = { type: "answer", body: "forty reels", isUnframed: true, resetsAtEnd: true };
    const orderId = script.add(cut);
    const order = await callHost(host, { path: "/orders/1", method: "POST", id: orderId });
    assert.equal(order.status, 502);
    assert.equal(executionsOf(site, orderId).length, 1);
    const readId = script.add(cut, { type: "answer", body: "all reels" });
    const read = await callHost(host, { path: "/reads/1", id: readId });
    assert.deepEqual([read.status, read.body], [200, "all reels"]);
});

test("an unframed stream whose connection is reset after an event's end is resumed, or does not look complete", async () => {
    const cut: Behaviour = { type: "stream", events: BROKEN_EVENT, isUnframed: true, resetsAtEnd: true };
    const id = script.add(cut, WHOLE_STREAM);
    const resumed = await callHost(host, { path: "/streams/1", method: "POST", id });
    assert.deepEqual([resumed.body, resumed.isComplete], [renderEvents(EVENT_COUNT), true]);
    const lost = await callHost(host, { path: "/once/1", method: "POST", id: script.add(cut) });
    assert.equal(lost.isComplete, false);
});

test("an HTTP/1.1 caller keeps its connection over unframed answers, each with its own end", async () => {
    const socket = connectToHost();
    let text = "";
    socket.on("data", (piece: Buffer) => {
        text += piece.toString();
    });
    const readId = script.add({ type: "answer", body: "forty reels", isUnframed: true });
    socket.write(renderRequest("/reads/1", readId, "1.1"));
    await until(() => text.endsWith("forty reels"));
    assert.match(text, /content-length: 11/i);
    socket.write(renderRequest("/streams/1", script.add(UNFRAMED_STREAM), "1.1"));
    await until(() => text.endsWith("\r\n0\r\n\r\n"));
    assert.match(text, /transfer-encoding: chunked/i);
    const lastId = script.add(PLAIN_ANSWER);
    socket.write(renderRequest("/reads/1", lastId, "1.1"));
    await until(() => text.endsWith(`ran ${lastId}`));
    assert.equal(socket.closed, false);
    socket.destroy();
});

test("an HTTP/1.0 caller gets answers and streams without chunks, which end with its connection", async () => {
    for (const isUnframed of [true, false]) {
        for (const headers of ["", "Connection: keep-alive\r\n"]) {
            const id = script.add({ type: "stream", events: EVENT_COUNT, isUnframed });
            const stream = await callAsOldCaller("/streams/1", id, headers);
            assertUnchunked(stream);
            assert.deepEqual([stream.body, stream.wasReset], [renderEvents(EVENT_COUNT), false]);
        }
        const id = script.add({ type: "answer", body: "forty reels", isUnframed });
        const answer = await callAsOldCaller("/reads/1", id);
        assertUnchunked(answer);
        assert.deepEqual([answer.body, answer.wasReset], ["forty reels", false]);
    }
});

test("a stream to an HTTP/1.0 caller that breaks inside an event is resumed without a trace", async () => {
    for (const isUnframed of [true, false]) {
        const id = script.add(breakWithin(`id: ${BROKEN_EVENT}\nda`, isUnframed), WHOLE_STREAM);
        const stream = await callAsOldCaller("/streams/1", id);
        assertUnchunked(stream);
        assert.deepEqual([stream.body, stream.wasReset], [renderEvents(EVENT_COUNT), false]);
    }
});

test("a stream to an HTTP/1.0 caller that is broken off does not end as if it were complete", async () => {
    const brokenOff: readonly Behaviour[] = [
        breakWithin(`id: ${BROKEN_EVENT}\nda`),
        breakWithin(`id: ${BROKEN_EVENT}\nda`, false),
        { type: "stream", events: EVENT_COUNT, breakAfter: BROKEN_EVENT },
        { type: "stream", events: BROKEN_EVENT, isUnframed: true, resetsAtEnd: true },
    ];
    for (const behaviour of brokenOff) {
        const { body, wasReset } = await callAsOldCaller("/once/1", script.add(behaviour));
        assert.ok(wasReset || !body.endsWith("\n\n"), `ended in order after ${body.length} bytes`);
    }
});
