/**
 * Many large bodies at once, each of which a host may hold.
 *
 * @module
 */
import assert from "node:assert/strict";
import { test } from "node:test";
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
