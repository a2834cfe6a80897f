/**
 * What requests that wait behind another one on their connection hold of a host's memory.
 *
 * @module
 */
import assert from "node:assert/strict";
import { connect } from "node:net";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { type Behaviour, type ReceivedRequest } from "../standins/platform/upstream.js";
import { callHost, EntrySite, type SiteHost, until, waitUntilReady } from "./support/entrySite.js";

const MACHINE_BYTES = 160_000_000;
const IDLE_TIMEOUT_MILLISECONDS = 500;
const LARGE_ANSWER_BYTES = 7_500_000;
const LARGE_BODY_BYTES = 1_000_000;

const CONNECTIONS = 120;
const REQUESTS = 40;

function behave({ path }: ReceivedRequest): Behaviour {
    return path === "/orders/large"
        ? { type: "answer", body: "x".repeat(LARGE_ANSWER_BYTES) }
        : { type: "answer", afterMilliseconds: path === "/orders/slow" ? 1_500 : 0 };
}

async function startSite(): Promise<{ readonly site: EntrySite; readonly host: SiteHost; }> {
    const site = await EntrySite.start();
    site.configure([{ pathPrefix: "/orders/", kind: "non_idempotent", timeoutMs: 20_000 }], undefined, {
        limits: {
            maxHeaderBytes: 16_384,
            maxBodyBytes: 4 * 1024 * 1024,
            headerTimeoutMs: 3_000,
            idleTimeoutMs: IDLE_TIMEOUT_MILLISECONDS,
        },
    });
    await site.addUpstream({ id: "plain-1", slots: 400, behave });
    const host = await site.startHost({ ...await site.createSettings("entry-1"), memoryBytes: MACHINE_BYTES });
    await waitUntilReady(host);
    await until(() => host.lines.some(({ message }) => message === "upstream joined"));
    return { site, host };
}

function renderHead(id: string, path: string, bodyBytes = 0): string {
    return `POST ${path} HTTP/1.1\r\nHost: site.example\r\nFlamingospread-Request-Id: ${id}\r\n`
        + `Content-Length: ${bodyBytes}\r\n\r\n`;
}

// Guards against a host that refuses all callers: Node reports no close of responses that wait behind another one.
test("callers that leave with requests waiting on their connections do not take the host's memory for ever", async context => {
    const { host, site } = await startSite();
    context.after(() => site.close());
    const { address, port } = host.settings.callers;
    const sockets = Array.from({ length: CONNECTIONS }, (_, index) => {
        const socket = connect(port, address);
        socket.on("error", () => undefined);
        socket.write(
            Array.from({ length: REQUESTS }, (_, count) => renderHead(`w-${index}-${count}`, "/orders/slow")).join(""),
        );
        return socket;
    });
    await delay(500);
    sockets.forEach(socket => socket.destroy());
    await delay(2_500);
    for (let count = 0; count < 5; count += 1) {
        const answer = await callHost(host, { path: "/orders/1", method: "POST", id: `after-${count}`, body: "x" });
        assert.equal(answer.status, 200, JSON.stringify(answer.body));
    }
});

// Guards against an untrue 408: Node does not read a connection whose caller does not take an earlier answer.
test("a body behind an answer that its caller does not read for a while is not given up", async context => {
    const { host, site } = await startSite();
    context.after(() => site.close());
    const { address, port } = host.settings.callers;
    const socket = connect(port, address);
    socket.on("error", () => undefined);
    socket.pause();
    socket.write(renderHead("first", "/orders/large"));
    await delay(300);
    socket.write(renderHead("second", "/orders/1", LARGE_BODY_BYTES));
    socket.write("b".repeat(LARGE_BODY_BYTES));
    await delay(4 * IDLE_TIMEOUT_MILLISECONDS);
    let received = "";
    socket.on("data", (bytes: Buffer) => {
        received += bytes.toString("latin1");
    });
    socket.resume();
    await until(() => (received.match(/HTTP\/1\.1 \d+/g) ?? []).length === 2, 10_000);
    assert.deepEqual(received.match(/HTTP\/1\.1 \d+/g), ["HTTP/1.1 200", "HTTP/1.1 200"]);
    socket.destroy();
});
