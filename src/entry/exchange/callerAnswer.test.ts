import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { test } from "node:test";
import { MemoryBudget } from "../../memory/index.js";
import { PagePool } from "../pagePool.js";
import { CallerAnswer } from "./callerAnswer.js";

const EVENTS = Array.from({ length: 40 }, (_, index) => `id: ${index}\ndata: ${"x".repeat(index * 7)}\n\n`);
const HEAD = { status: 200, rawHeaders: ["Content-Type", "text/event-stream", "Content-Length", "5"], headers: {} };

type Answerer = (response: ServerResponse, message: IncomingMessage) => Promise<void> | void;

/** Returns all bytes with which a server answers requests that come at once. */
async function bytesOf(requests: string, answer: Answerer): Promise<string> {
    const server = createServer((message, response) => {
        response.sendDate = false;
        void answer(response, message);
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const caller = connect((server.address() as AddressInfo).port, "127.0.0.1");
    let received = "";
    caller.on("data", (piece: Buffer) => received += piece.toString("latin1"));
    caller.write(requests);
    await once(caller, "close");
    server.close();
    return received;
}

function createAnswer(response: ServerResponse, message: IncomingMessage): CallerAnswer {
    return new CallerAnswer({
        response,
        requestId: "request",
        requestIdHeader: "request-id",
        reservation: new MemoryBudget({ machineBytes: undefined }).begin("answers"),
        pages: new PagePool(),
        method: message.method ?? "GET",
        closesConnection: () => message.url === "/last",
        readClock: () => 0,
    });
}

function forward(answer: CallerAnswer, event: string): void {
    answer.forwardEvents(HEAD, { bytes: Buffer.from(event), count: 1, lastIdentifier: undefined });
}

function answerByHost(response: ServerResponse, message: IncomingMessage): void {
    const answer = createAnswer(response, message);
    EVENTS.forEach(event => forward(answer, event));
    answer.endStream(HEAD);
}

/** Answers as Node.js frames chunks itself. */
function answerByNode(response: ServerResponse, message: IncomingMessage): void {
    const closing = message.url === "/last" ? ["Connection", "close"] : [];
    response.writeHead(200, [...HEAD.rawHeaders.slice(0, 2), ...closing]);
    EVENTS.forEach(event => response.write(Buffer.from(event)));
    response.end();
}

const REQUESTS: Readonly<Record<string, string>> = {
    "a stream": "GET /last HTTP/1.1\r\nHost: site\r\n\r\n",
    "streams on one connection": "GET / HTTP/1.1\r\nHost: site\r\n\r\n".repeat(2)
        + "GET /last HTTP/1.1\r\nHost: site\r\n\r\n",
    "a stream to a caller that knows no chunks": "GET /last HTTP/1.0\r\n\r\n",
    "the head of a stream": "HEAD / HTTP/1.1\r\nHost: site\r\n\r\nGET /last HTTP/1.1\r\nHost: site\r\n\r\n",
};

for (const [name, requests] of Object.entries(REQUESTS)) {
    test(`${name} has the bytes that Node.js would write`, async () => {
        assert.equal(await bytesOf(requests, answerByHost), await bytesOf(requests, answerByNode));
    });
}

test("each event of a stream is written to the socket in several pieces", async () => {
    let writeCount = 0;
    await bytesOf(REQUESTS["a stream"] ?? "", async (response, message) => {
        const socket = response.socket as Socket;
        const answer = createAnswer(response, message);
        forward(answer, "id: first\n\n");
        const write = socket.write.bind(socket) as (...parts: unknown[]) => boolean;
        socket.write = (...parts: unknown[]) => {
            writeCount += 1;
            return write(...parts);
        };
        for (const event of EVENTS) {
            forward(answer, event);
            await new Promise(resolve => setImmediate(resolve));
        }
        assert.equal(writeCount, EVENTS.length);
        answer.endStream(HEAD);
    });
    assert.ok(writeCount > EVENTS.length);
});

test("a stream that is aborted looks complete to its caller", async () => {
    const received = await bytesOf("GET / HTTP/1.1\r\nHost: site\r\n\r\n", async (response, message) => {
        const answer = createAnswer(response, message);
        forward(answer, "id: first\n\n");
        await new Promise(resolve => setTimeout(resolve, 20));
        answer.abort();
    });
    assert.match(received, /id: first\n\n\r\n$/);
});
