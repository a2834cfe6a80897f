/**
 * Large answers, to callers that do not read them and to callers that do: the host keeps within its machine's memory.
 *
 * @module
 */
import assert from "node:assert/strict";
import { request as sendRequest } from "node:http";
import { connect, type Socket } from "node:net";
import { after, before, test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { type LoadedHost, startLoadedHost } from "./support/answerLoad.js";
import { type BundledProgram, bundleProgram } from "./support/bundledProgram.js";
import { callHost, HOST_NAME, until } from "./support/entrySite.js";

/** Memory of the smallest machines. */
const MACHINE_MEGABYTES = 160;

const LARGE_ANSWER_BYTES = 7_500_000;
const MEDIUM_ANSWER_BYTES = 1_000_000;

const NOT_READING_MILLISECONDS = 6_000;

let bundled: BundledProgram;
before(async () => {
    bundled = await bundleProgram();
});
after(() => bundled.close());

function assertWithinMachine(context: TestContext, { peakMegabytes }: LoadedHost): void {
    context.diagnostic(`${Math.round(peakMegabytes())} MB at most`);
    assert.ok(peakMegabytes() < MACHINE_MEGABYTES, `${Math.round(peakMegabytes())} MB`);
}

/** Sends requests whose answers nobody reads. */
function sendUnread({ settings: { callers } }: LoadedHost, count: number): Socket[] {
    return Array.from({ length: count }, (_, index) => {
        const socket = connect(callers.port, callers.address);
        socket.on("error", () => undefined);
        socket.pause();
        socket.write(
            `GET /large/1 HTTP/1.1\r\nHost: ${HOST_NAME}\r\nFlamingospread-Request-Id: unread-${index}\r\n\r\n`,
        );
        return socket;
    });
}

/** Sends a request; returns its status and the size of its body, `undefined` where the answer broke off. */
function readSize(
    { settings: { callers } }: LoadedHost,
    id: string,
): Promise<{ readonly status: number | undefined; readonly bytes: number | undefined; }> {
    return new Promise(resolve => {
        const request = sendRequest({
            host: callers.address,
            port: callers.port,
            agent: false,
            path: "/large/1",
            headers: { "Host": HOST_NAME, "Flamingospread-Request-Id": id },
        }, answer => {
            let bytes = 0;
            answer.on("data", (piece: Buffer) => bytes += piece.length);
            answer.on("end", () => resolve({ status: answer.statusCode, bytes: answer.complete ? bytes : undefined }));
            answer.on("error", () => resolve({ status: answer.statusCode, bytes: undefined }));
        });
        request.on("error", () => resolve({ status: undefined, bytes: undefined }));
        request.end();
    });
}

async function holdUnread(context: TestContext, count: number, answerBytes: number): Promise<void> {
    const host = await startLoadedHost(context, bundled, { answerBytes, memoryMegabytes: MACHINE_MEGABYTES });
    const sockets = sendUnread(host, count);
    context.after(() => sockets.forEach(socket => socket.destroy()));
    await delay(NOT_READING_MILLISECONDS);
    assertWithinMachine(context, host);
}

test("70 callers that do not read answers of 7.5 MB exhaust the memory of the smallest machine", async context => {
    await holdUnread(context, 70, LARGE_ANSWER_BYTES);
});

test("300 callers that do not read answers of 1 MB exhaust the memory of the smallest machine", async context => {
    await holdUnread(context, 300, MEDIUM_ANSWER_BYTES);
});

test("1,200 callers that do not read answers of 7.5 MB exhaust the memory of the smallest machine, or take it for ever", async context => {
    const sizes = { answerBytes: LARGE_ANSWER_BYTES, memoryMegabytes: MACHINE_MEGABYTES };
    const host = await startLoadedHost(context, bundled, sizes);
    const sockets = sendUnread(host, 1_200);
    context.after(() => sockets.forEach(socket => socket.destroy()));
    await delay(NOT_READING_MILLISECONDS);
    const others = await Promise.all(Array.from({ length: 20 }, () => callHost(host, { path: "/large/1" })));
    const refused = others.filter(({ status }) => status === 503);
    context.diagnostic(`${refused.length} of ${others.length} refused beside them`);
    assert.ok(refused.length > 0, "requests are taken on for whose answers there is no memory");
    for (const { body, headers } of refused) {
        assert.match(body, /"ran":"not-run"/);
        assert.ok(Number(headers["retry-after"]) > 0);
    }
    assert.ok(others.every(each => refused.includes(each) || each.body.length === LARGE_ANSWER_BYTES));
    sockets.forEach(socket => socket.destroy());
    await until(async () => (await callHost(host, { path: "/large/1" })).body.length === LARGE_ANSWER_BYTES);
    assertWithinMachine(context, host);
});

test("60 callers that read answers of 7.5 MB exhaust the memory of the smallest machine, or get none", async context => {
    const sizes = { answerBytes: LARGE_ANSWER_BYTES, memoryMegabytes: MACHINE_MEGABYTES };
    const host = await startLoadedHost(context, bundled, sizes);
    const answers = await Promise.all(Array.from({ length: 60 }, (_, index) => readSize(host, `read-${index}`)));
    const whole = answers.filter(({ bytes, status }) => status === 200 && bytes !== undefined);
    context.diagnostic(`${whole.length} whole answers`);
    assert.ok(whole.every(({ bytes }) => bytes === LARGE_ANSWER_BYTES), "a truncated answer looks complete");
    assert.ok(whole.length > answers.length / 2, `${whole.length} whole answers`);
    assertWithinMachine(context, host);
});
