/**
 * Many large bodies at once, each of which a host may hold.
 *
 * @module
 */
import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { MemoryBudget } from "../src/memory/index.js";
import { callHost, EntrySite, ranOf, reasonOf, until, waitUntilReady } from "./support/entrySite.js";

const BODY_BYTES = 4 * 1024 * 1024;
const CALLERS = 44;

/** Bytes that a host holds at most on a machine whose settings do not name its memory. */
const HELD_BYTES = new MemoryBudget({ machineBytes: undefined }).budgetBytes;

// Guards against a host that is killed for its memory since it holds the bodies of all connections.
test("bodies beyond what a host may hold are refused as not run, and there is room again once others ended", async () => {
    const site = await EntrySite.start();
    site.configure([{ pathPrefix: "/orders/", kind: "non_idempotent", timeoutMs: 20_000 }], undefined, {
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: BODY_BYTES, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    });
    let answersAfterMilliseconds = 3_000;
    const upstream = await site.addUpstream({
        id: "plain-1",
        slots: 100,
        behave: () => ({ type: "answer", afterMilliseconds: answersAfterMilliseconds }),
    });
    const host = await site.addHost("entry-1");
    await waitUntilReady(host);
    await until(() => host.lines.some(({ message }) => message === "upstream joined"));
    const body = "x".repeat(BODY_BYTES);
    const send = (id: string): ReturnType<typeof callHost> =>
        callHost(host, { path: "/orders/1", method: "POST", id, body });
    const ids = Array.from({ length: CALLERS }, (_, index) => `large-${index}`);
    const answers = await Promise.all(ids.map(send));
    const ran = new Set(upstream.received.map(({ id }) => id));
    const held = answers.filter(({ status }) => status === 200);
    const refused = ids.filter((_, index) => answers[index]?.status === 503);
    assert.equal(held.length + refused.length, CALLERS);
    assert.ok(held.length > 0 && held.length * BODY_BYTES <= HELD_BYTES, `${held.length} bodies were held`);
    assert.deepEqual(refused.filter(id => ran.has(id)), []);
    for (const answer of answers.filter(({ status }) => status === 503)) {
        assert.deepEqual([reasonOf(answer), ranOf(answer)], ["no-room-for-bodies", "not-run"]);
        assert.ok(answer.headers["retry-after"]);
    }
    answersAfterMilliseconds = 0;
    assert.equal((await send("after")).status, 200);
    await site.close();
});

const IDLE_TIMEOUT_MILLISECONDS = 500;

// Guards against memory that is held for as long as a caller leaves its connection open.
test("a body whose caller sends nothing more is refused as not run, and one that comes slowly is not", async () => {
    const site = await EntrySite.start();
    site.configure([{ pathPrefix: "/orders/", kind: "non_idempotent", timeoutMs: 20_000 }], undefined, {
        limits: {
            maxHeaderBytes: 16_384,
            maxBodyBytes: BODY_BYTES,
            headerTimeoutMs: 3_000,
            idleTimeoutMs: IDLE_TIMEOUT_MILLISECONDS,
        },
    });
    const upstream = await site.addUpstream({ id: "plain-1", behave: () => ({ type: "answer" }) });
    const host = await site.addHost("entry-1");
    await waitUntilReady(host);
    await until(() => host.lines.some(({ message }) => message === "upstream joined"));
    const { callers } = host.settings;
    const begin = (id: string): { readonly socket: Socket; readonly answer: () => string; } => {
        const socket = connect(callers.port, callers.address);
        let answer = "";
        socket.on("data", (bytes: Buffer) => {
            answer += bytes.toString();
        });
        socket.on("error", () => undefined);
        socket.write(
            "POST /orders/1 HTTP/1.1\r\nHost: site.example\r\nFlamingospread-Request-Id: "
                + `${id}\r\nContent-Length: 20\r\n\r\n`,
        );
        return { socket, answer: () => answer };
    };
    const stalled = begin("stalled");
    stalled.socket.write("1234567890");
    const slow = begin("slow");
    for (let count = 0; count < 20; count += 1) {
        slow.socket.write("x");
        await delay(IDLE_TIMEOUT_MILLISECONDS / 5);
    }
    await until(() => slow.answer().startsWith("HTTP/1.1 200"));
    assert.match(stalled.answer(), /^HTTP\/1\.1 408 /);
    assert.match(stalled.answer(), /"reason":"body-stalled","ran":"not-run"/);
    assert.deepEqual(upstream.received.map(({ id }) => id), ["slow"]);
    stalled.socket.destroy();
    slow.socket.destroy();
    await site.close();
});
