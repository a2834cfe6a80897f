/**
 * The configured limit on the headers of callers' requests, before and after it changes, on new and on kept connections.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Agent, request as sendRequest } from "node:http";
import { connect } from "node:net";
import { after, before, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import {
    callHost,
    countLines,
    EntrySite,
    HOST_NAME,
    type SiteHost,
    until,
    waitUntilReady,
} from "./support/entrySite.js";
import { parseAnswers } from "./support/overlappingCaller.js";

const LOW_BYTES = 6_000;
const HIGH_BYTES = 40_000;
const PATH = "/reads/1";
const ANSWER_MILLISECONDS = 100;

/** Longer than the time in which a caller that gets no more requests read should close its connection. */
const CLOSED_MILLISECONDS = 2_000;

interface Answer {
    readonly status: number | undefined;
    readonly retryAfter: string | undefined;
    readonly reusedConnection: boolean;
}

let site: EntrySite;
let host: SiteHost;
let requestCount = 0;

async function setLimit(maxHeaderBytes: number): Promise<void> {
    site.configure([{ pathPrefix: "/reads/", kind: "idempotent", timeoutMs: 4_000 }], undefined, {
        limits: { maxHeaderBytes, maxBodyBytes: 65_536, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    });
    await until(() =>
        host.lines.some(({ fields, message }) =>
            message === "configuration in force" && fields["version"] === site.version
        )
    );
}

/** Creates headers which, with the URL, have a number of bytes. */
function headersOf(bytes: number): Record<string, string> {
    requestCount += 1;
    const headers: Record<string, string> = {
        "Host": HOST_NAME,
        "Connection": "keep-alive",
        "Flamingospread-Request-Id": `request-${requestCount}`,
        "X-Long": "",
    };
    const others = Object.entries(headers).flat().join("").length + PATH.length;
    return { ...headers, "X-Long": "x".repeat(bytes - others) };
}

function callOn(agent: Agent, bytes: number): Promise<Answer> {
    const { address, port } = host.settings.callers;
    return new Promise(resolve => {
        const finish = (status: number | undefined, retryAfter?: string): void =>
            resolve({ status, retryAfter, reusedConnection: request.reusedSocket });
        const request = sendRequest(
            { agent, host: address, port, path: PATH, headers: headersOf(bytes) },
            answer => {
                answer.resume();
                answer.on("end", () => finish(answer.statusCode, answer.headers["retry-after"]));
            },
        );
        request.on("error", () => finish(undefined));
        request.end();
    });
}

async function callAnew(bytes: number): Promise<number | undefined> {
    const agent = new Agent();
    const { status } = await callOn(agent, bytes);
    agent.destroy();
    return status;
}

/** Opens a connection under one limit, and sends a request on it under another. */
async function callOnKept(bytes: number, limits: { readonly from: number; readonly to: number; }): Promise<Answer> {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    await setLimit(limits.from);
    assert.equal((await callOn(agent, LOW_BYTES)).status, 200);
    await setLimit(limits.to);
    const answer = await callOn(agent, bytes);
    agent.destroy();
    assert.ok(answer.reusedConnection, "on the kept connection");
    return answer;
}

before(async () => {
    site = await EntrySite.start();
    site.configure([]);
    await site.addUpstream({
        id: "i-sound",
        slots: 50,
        behave: ({ path }) =>
            path === PATH ? { type: "answer" } : { type: "answer", afterMilliseconds: ANSWER_MILLISECONDS },
    });
    host = await site.addHost("entry-1");
    await waitUntilReady(host);
});

after(async () => {
    await site.close();
});

test("headers are accepted up to the limit in force and refused beyond, on new connections", async () => {
    for (const limit of [LOW_BYTES, HIGH_BYTES, LOW_BYTES]) {
        await setLimit(limit);
        assert.deepEqual([await callAnew(limit), await callAnew(limit + 1)], [200, 431], `limit ${limit}`);
    }
});

test("a lowered limit holds on a kept connection", async () => {
    const limits = { from: HIGH_BYTES, to: LOW_BYTES };
    assert.equal((await callOnKept(LOW_BYTES, limits)).status, 200);
    assert.equal((await callOnKept(LOW_BYTES + 1, limits)).status, 431);
});

test("headers that only a raised limit allows are never refused for good on a kept connection", async () => {
    const limits = { from: LOW_BYTES, to: HIGH_BYTES };
    assert.equal((await callOnKept(LOW_BYTES, limits)).status, 200);
    const answer = await callOnKept(HIGH_BYTES, limits);
    assert.deepEqual([answer.status, answer.retryAfter], [503, "0"]);
    assert.equal(await callAnew(HIGH_BYTES), 200, "on a new connection");
    assert.equal((await callOnKept(HIGH_BYTES + 1, { from: HIGH_BYTES, to: HIGH_BYTES })).status, 431);
});

test("a caller that goes on sending headers beyond the limit is disconnected", async () => {
    await setLimit(LOW_BYTES);
    const rejectedBefore = countLines(host, "request rejected");
    const { address, port } = host.settings.callers;
    const socket = connect(port, address);
    socket.on("error", () => undefined);
    socket.on("data", () => undefined);
    const closed = new Promise<true>(resolve => socket.on("close", () => resolve(true)));
    socket.write(`GET ${PATH} HTTP/1.1\r\nHost: ${HOST_NAME}\r\n`);
    const timer = setInterval(() => socket.writable && socket.write(`X-More: ${"x".repeat(LOW_BYTES)}\r\n`), 50);
    const isClosed = await Promise.race([closed, delay(CLOSED_MILLISECONDS, false)]);
    clearInterval(timer);
    socket.destroy();
    assert.equal(isClosed, true);
    assert.equal(countLines(host, "request rejected"), rejectedBefore + 1, "logged once");
});

test("a refusal of long headers is never the answer to the request before them on the connection", async () => {
    await setLimit(LOW_BYTES);
    const { address, port } = host.settings.callers;
    const socket = connect(port, address);
    let received = "";
    socket.on("data", (chunk: Buffer) => {
        received += chunk.toString();
    });
    const closed = new Promise(resolve => socket.on("close", resolve));
    const head = (id: string): string =>
        `GET /reads/slow HTTP/1.1\r\nHost: ${HOST_NAME}\r\nFlamingospread-Request-Id: ${id}\r\n`;
    socket.write(`${head("first")}\r\n${head("second")}X-Long: ${"x".repeat(2 * LOW_BYTES)}\r\n\r\n`);
    await Promise.race([closed, delay(CLOSED_MILLISECONDS)]);
    socket.destroy();
    const answers = parseAnswers(received);
    assert.deepEqual(answers.map(({ status }) => status), [200, 431]);
    assert.equal(answers[0]?.headers["flamingospread-request-id"], "first");
    assert.ok(answers.every(({ isComplete }) => isComplete));
    assert.equal((await callHost(host, { path: PATH })).status, 200, "the host keeps serving");
});
