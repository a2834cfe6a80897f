/**
 * One entry host in front of three upstreams with scripted faults: retries, streams, time limits and bad input.
 *
 * @module
 */
import assert from "node:assert/strict";
import { connect } from "node:net";
import { after, before, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { type Behaviour } from "../standins/platform/upstream.js";
import {
    callHost,
    EntrySite,
    HOST_NAME,
    ranOf,
    reasonOf,
    type SiteHost,
    until,
    waitUntilReady,
} from "./support/entrySite.js";
import { executionsOf, ScriptedBehaviours } from "./support/scriptedBehaviours.js";

/** Callers abandon a stream after a gap of this length. */
const CALLER_GAP_LIMIT_MILLISECONDS = 2_000;

const SHORT_TIMEOUT_MILLISECONDS = 250;

/** A final answer is due at most this long after its route's time limit. */
const ANSWER_TOLERANCE_MILLISECONDS = 500;

const script = new ScriptedBehaviours();
let site: EntrySite;
let host: SiteHost;

before(async () => {
    site = await EntrySite.start();
    site.configure([
        { pathPrefix: "/reads/", kind: "idempotent" },
        { pathPrefix: "/orders/", kind: "non_idempotent" },
        { pathPrefix: "/streams/", kind: "stream", resumable: true, targetGapMs: 150, timeoutMs: 15_000 },
        { pathPrefix: "/once/", kind: "stream", resumable: false },
        { pathPrefix: "/short/", kind: "non_idempotent", timeoutMs: SHORT_TIMEOUT_MILLISECONDS },
    ]);
    for (const id of ["i-one", "i-two", "i-three"]) {
        await site.addUpstream({ id, behave: script.behave, slots: 50 });
    }
    host = await site.addHost("entry-1");
    await waitUntilReady(host);
});

after(async () => {
    await site.close();
});

test("method, path, query, body and headers are forwarded unchanged, except headers reserved for the system", async () => {
    const answer = await callHost(host, {
        path: "/orders/17/lines?sort=%20a&x=1",
        method: "POST",
        id: "unchanged",
        body: "{\"reel\": 4}",
        headers: {
            "X-Custom": "kept",
            "Flamingospread-Deadline-Ms": "1500",
            "Flamingospread-Hold": "smuggled",
            "Kv-From": "10.0.0.1:1/x",
            "Flamingospread-Request-Priority": "9",
            "Connection": "close, X-Hop",
            "X-Hop": "dropped",
        },
    });
    assert.equal(answer.status, 200);
    const [execution] = executionsOf(site, "unchanged");
    assert.ok(execution !== undefined);
    assert.deepEqual([execution.method, execution.path, execution.body], [
        "POST",
        "/orders/17/lines?sort=%20a&x=1",
        "{\"reel\": 4}",
    ]);
    assert.equal(execution.headers["x-custom"], "kept");
    assert.equal(execution.headers.host, HOST_NAME);
    for (const dropped of ["flamingospread-hold", "kv-from", "x-hop", "flamingospread-request-priority"]) {
        assert.equal(execution.headers[dropped], undefined, dropped);
    }
    const deadline = Number(execution.headers["flamingospread-deadline-ms"]);
    assert.ok(deadline > 1_000 && deadline <= 1_500, `remaining time: ${deadline}`);
    assert.match(String(answer.headers["flamingospread-response-signature"]), /^receipt-i-/);
    assert.equal(answer.headers["flamingospread-request-id"], "unchanged");
});

// Guards against engines that run another request than the caller's: Node drops fields beyond a number of them.
test("fields behind very many short ones do not reach the upstream", async () => {
    const many = Object.fromEntries(Array.from({ length: 1_200 }, (_, index) => [`x-${index.toString(36)}`, "1"]));
    const last = { "Flamingospread-Token-Count": "543,280", "Flamingospread-Prompt-Prefix": "5c1e07a2:800" };
    await callHost(host, {
        path: "/orders/1",
        id: "many-fields",
        headers: { ...many, ...last, "Flamingospread-Deadline-Ms": "1500" },
    });
    const [execution] = executionsOf(site, "many-fields");
    const headers = execution?.headers ?? {};
    assert.deepEqual(Object.keys(many).filter(name => headers[name] !== "1"), []);
    assert.equal(headers["flamingospread-token-count"], last["Flamingospread-Token-Count"]);
    assert.equal(headers["flamingospread-prompt-prefix"], last["Flamingospread-Prompt-Prefix"]);
    assert.ok(Number(headers["flamingospread-deadline-ms"]) <= 1_500);
});

test("an order whose connection is lost is not retried and not reported as not run", async () => {
    const answer = await callHost(host, {
        path: "/orders/1",
        method: "POST",
        id: script.set("lost-order", { type: "reset" }),
    });
    assert.equal(answer.status, 502);
    assert.equal(executionsOf(site, "lost-order").length, 1);
});

test("an order that an upstream rejects as not executed is retried at another upstream", async () => {
    const id = script.set("rejected-order", { type: "not-run", status: 503 });
    const answer = await callHost(host, { path: "/orders/1", method: "POST", id });
    assert.equal(answer.status, 200);
    assert.equal(executionsOf(site, id).length, 2);
});

test("an order that every upstream rejects is refused as not run, with a Retry-After header", async () => {
    const rejections = Array.from({ length: 3 }, (): Behaviour => ({ type: "not-run", status: 503 }));
    const answer = await callHost(host, {
        path: "/orders/1",
        method: "POST",
        id: script.set("refused-order", ...rejections),
    });
    assert.equal(answer.status, 503);
    assert.ok(Number(answer.headers["retry-after"]) > 0);
    assert.equal(ranOf(answer), "not-run");
});

test("a read whose connection is lost, or whose upstream fails, is retried at another upstream", async () => {
    for (const behaviour of [{ type: "reset" }, { type: "answer", status: 500 }] as const) {
        const id = script.set(`lost-read-${behaviour.type}`, behaviour);
        assert.equal((await callHost(host, { path: "/reads/1", id })).status, 200);
        assert.equal(executionsOf(site, id).length, 2);
    }
});

test("an upstream's error answer to an order reaches the caller unchanged", async () => {
    const id = script.set("failed-order", { type: "answer", status: 500, body: "out of reels" });
    const answer = await callHost(host, { path: "/orders/1", method: "POST", id });
    assert.deepEqual([answer.status, answer.body], [500, "out of reels"]);
    assert.match(String(answer.headers["flamingospread-response-signature"]), /^receipt-i-/);
});

test("bytes that are not the answer to a request never reach its caller as a success", async () => {
    for (const type of ["without-receipt", "wrong-identifier", "unframed-reset"] as const) {
        const order = await callHost(host, {
            path: "/orders/1",
            method: "POST",
            id: script.set(`order-${type}`, { type }),
        });
        assert.equal(order.status, 502, type);
        const read = await callHost(host, { path: "/reads/1", id: script.set(`read-${type}`, { type }) });
        assert.deepEqual([read.status, read.body.includes(`ran read-${type}`)], [200, true], type);
    }
});

test("a surplus answer on a connection is not returned for any other request", async () => {
    for (let round = 0; round < 6; round += 1) {
        const first = await callHost(host, {
            path: "/reads/1",
            id: script.set(`extra-${round}`, { type: "extra-answer" }),
        });
        assert.equal(first.body, "ok");
        const next = await callHost(host, { path: "/orders/2", method: "POST", id: `after-extra-${round}` });
        assert.ok(next.status === 502 || next.body.includes(`ran after-extra-${round}`), `${next.status} ${next.body}`);
    }
});

function eventIds(body: string): number[] {
    return [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
}

test("a stream that breaks within an event is resumed at another engine after the last complete event", async () => {
    const id = script.set("broken-stream", { type: "stream", events: 12, breakAfter: 5 }, {
        type: "stream",
        events: 12,
    });
    const answer = await callHost(host, { path: "/streams/1", method: "POST", id });
    assert.equal(answer.isComplete, true);
    assert.deepEqual(eventIds(answer.body), Array.from({ length: 12 }, (_, index) => index + 1));
    assert.deepEqual(executionsOf(site, id).map(execution => execution.headers["last-event-id"]).sort(), [
        "4",
        undefined,
    ]);
});

test("a stream that cannot be resumed ends visibly incomplete, and the host keeps serving", async () => {
    const id = script.set("lost-stream", { type: "stream", events: 9, breakAfter: 4 }, {
        type: "answer",
        status: 500,
    });
    const answer = await callHost(host, { path: "/streams/1", method: "POST", id });
    assert.equal(answer.isComplete, false);
    const notResumableId = script.set("once-stream", { type: "stream", events: 9, breakAfter: 4 });
    const second = await callHost(host, { path: "/once/1", method: "POST", id: notResumableId });
    assert.equal(second.isComplete, false);
    assert.equal(executionsOf(site, notResumableId).length, 1);
    assert.equal((await callHost(host, { path: "/reads/1" })).status, 200);
});

test("a stream is cancelled at the engine when its caller disconnects", async () => {
    const id = script.set("left", { type: "stream", events: 400, gapMilliseconds: 10 });
    await callHost(host, { path: "/streams/1", method: "POST", id, disconnectAfterMilliseconds: 100 });
    await until(() => site.upstreams.some(({ abandoned }) => abandoned.includes(id)), 500);
});

test("a request whose caller disconnects before it is read is not forwarded", async () => {
    await Promise.all(Array.from({ length: 6 }, () => callHost(host, { path: "/reads/warm" })));
    const { address, port } = host.settings.callers;
    const identifiers = Array.from({ length: 12 }, (_, index) => `left-${index}`);
    for (const id of identifiers) {
        const socket = connect(port, address, () => {
            socket.write(`GET /reads/1 HTTP/1.1\r\nHost: ${HOST_NAME}\r\nFlamingospread-Request-Id: ${id}\r\n\r\n`);
            socket.end();
        });
        socket.on("error", () => undefined);
    }
    await delay(300);
    assert.deepEqual(identifiers.flatMap(id => executionsOf(site, id)), []);
    const rejected = host.lines.filter(({ fields, message }) =>
        message === "request rejected" && fields["reason"] === "caller-left"
    );
    assert.equal(rejected.length, identifiers.length);
    assert.equal((await callHost(host, { path: "/reads/1" })).status, 200);
});

test("a stalled stream is resumed at another engine before its caller abandons it", async () => {
    const id = script.set("silent", { type: "silent" }, { type: "stream", events: 3 });
    const answer = await callHost(host, { path: "/streams/1", method: "POST", id });
    assert.deepEqual(eventIds(answer.body), [1, 2, 3]);
    const failed = host.lines.find(({ fields, message }) => message === "attempt failed" && fields["request"] === id);
    const limit = Number(/nothing came for (\d+) ms/.exec(String(failed?.fields["detail"]))?.[1]);
    assert.ok(limit < CALLER_GAP_LIMIT_MILLISECONDS, `abandoned after a gap of ${limit} ms`);
});

test("a request that may have run is answered with 504 at its route's time limit", async () => {
    const answer = await callHost(host, {
        path: "/short/1",
        method: "POST",
        id: script.set("slow", { type: "silent" }),
    });
    assert.equal(answer.status, 504);
    const overrunMilliseconds = answer.tookMilliseconds - SHORT_TIMEOUT_MILLISECONDS;
    assert.ok(
        overrunMilliseconds > -50 && overrunMilliseconds < ANSWER_TOLERANCE_MILLISECONDS,
        `${overrunMilliseconds} ms after its time limit`,
    );
});

test("bad input is refused with its reason, and the host keeps serving", async () => {
    const unknown = await callHost(host, { path: "/nowhere/1" });
    assert.deepEqual([unknown.status, reasonOf(unknown)], [404, "no-route"]);
    const otherHost = await callHost(host, { path: "/reads/1", hostName: "other.example" });
    assert.equal(otherHost.status, 404);
    const anonymous = await callHost(host, { path: "/reads/1", id: "" });
    assert.deepEqual([anonymous.status, reasonOf(anonymous)], [400, "no-request-identifier"]);
    const large = await callHost(host, { path: "/orders/1", method: "POST", body: "x".repeat(70_000) });
    assert.equal(large.status, 413);
    const headers = await callHost(host, { path: "/reads/1", headers: { "X-Long": "x".repeat(20_000) } });
    assert.equal(headers.status, 431);
    assert.equal((await callHost(host, { path: "/reads/1" })).status, 200);
});

test("a request smuggled in the body of another request is not forwarded", async () => {
    const { address, port } = host.settings.callers;
    const socket = connect(port, address);
    const hidden = "POST /orders/9 HTTP/1.1\r\nHost: site.example\r\nFlamingospread-Request-Id: hidden\r\n\r\n";
    socket.write(
        "POST /orders/8 HTTP/1.1\r\nHost: site.example\r\nFlamingospread-Request-Id: cover\r\n"
            + `Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n${hidden}`,
    );
    await delay(300);
    socket.destroy();
    assert.deepEqual(executionsOf(site, "hidden"), []);
});

test("a draining upstream gets no further requests, and none for another upstream that is announced at its address", async () => {
    const leaving = await site.addUpstream({ id: "i-leaving", behave: script.behave, slots: 50 });
    await until(() =>
        host.lines.some(({ fields, message }) => message === "upstream joined" && fields["upstream"] === "i-leaving")
    );
    site.announce(leaving, "plain", { state: "draining", sequence: 41 });
    await until(() =>
        host.lines.some(({ fields, message }) => message === "upstream left" && fields["upstream"] === "i-leaving")
    );
    const count = leaving.received.length;
    await Promise.all(Array.from({ length: 30 }, () => callHost(host, { path: "/reads/1" })));
    assert.equal(leaving.received.length, count);
    site.store.put("servers/i-moved", leaving.announcement("plain", { born: 1_700_000_000_900 }));
    await until(() =>
        host.lines.some(({ fields, message }) => message === "upstream joined" && fields["upstream"] === "i-moved")
    );
    const answers = await Promise.all(
        Array.from({ length: 30 }, () => callHost(host, { path: "/orders/1", method: "POST" })),
    );
    assert.deepEqual([...new Set(answers.map(({ status }) => status))], [200]);
    assert.equal(leaving.received.length, count);
    site.store.remove("servers/i-moved");
});

test("an unreadable announcement adds no upstream, and the other announcements stay in use", async () => {
    site.store.put("servers/i-bytes", "\u0000not json");
    site.store.put("servers/i-number", { ...site.upstreams[0]?.announcement("plain"), service: 7 });
    site.store.put("servers/i-state", { ...site.upstreams[0]?.announcement("plain"), state: "lurking" });
    site.store.put("servers/i-born", { ...site.upstreams[0]?.announcement("plain"), born: 1.5 });
    await until(() => host.lines.filter(({ message }) => message === "announcement not readable").length >= 4);
    assert.equal((await callHost(host, { path: "/reads/1" })).status, 200);
});
