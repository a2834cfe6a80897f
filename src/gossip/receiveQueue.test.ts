import assert from "node:assert/strict";
import { test } from "node:test";
import { createBusyAggregate } from "../../tests/support/busyMessages.js";
import { createDigest } from "../../tests/support/digests.js";
import { MemoryBudget } from "../memory/index.js";
import { ReceiveQueue, type WaitingDatagram } from "./receiveQueue.js";

const PEER = "127.0.0.1:7001";
const OTHER_PEER = "127.0.0.1:7002";

function datagramOf(message: object, source = PEER): WaitingDatagram {
    return { bytes: Buffer.from(JSON.stringify(message)), source };
}

function digestOf(sequence: number, source = PEER): WaitingDatagram {
    return datagramOf(createDigest(source, { sequence }), source);
}

function noticeOf(promptTokens: number, source = PEER): WaitingDatagram {
    return datagramOf({ type: "sent", host: source, engine: "i-1", promptTokens }, source);
}

function takeAll(queue: ReceiveQueue): WaitingDatagram[] {
    return Array.from({ length: queue.size }, () => queue.take()).flatMap(taken => taken ?? []);
}

test("a host that is behind handles the latest digest of each peer, in the place of the one that came first", () => {
    const queue = new ReceiveQueue();
    const latest = digestOf(3);
    const ofOther = digestOf(1, OTHER_PEER);
    const reasons = [digestOf(1), ofOther, digestOf(2), latest].map(datagram => queue.add(datagram));
    assert.deepEqual(reasons, [undefined, undefined, "superseded", "superseded"]);
    assert.deepEqual(takeAll(queue), [latest, ofOther]);
    assert.equal(queue.take(), undefined);
});

test("a notice that counts on its own is never lost to a later one of the same kind and sender", () => {
    const queue = new ReceiveQueue();
    const notices = [1, 1, 2].map(tokens => noticeOf(tokens));
    notices.forEach(notice => assert.equal(queue.add(notice), undefined));
    assert.deepEqual(takeAll(queue), notices);
});

test("an aggregate of the other cells is not lost to the next one, which tells of other engines", () => {
    const queue = new ReceiveQueue();
    const ofRest = { ...createBusyAggregate(1, 2), scope: "rest" };
    const [first, second] = [datagramOf(ofRest), datagramOf({ ...ofRest, engines: [] })];
    assert.equal(queue.add(first), undefined);
    assert.equal(queue.add(second), undefined);
    const ofCell = datagramOf(createBusyAggregate(1, 2));
    assert.equal(queue.add(ofCell), undefined);
    assert.equal(queue.add(ofCell), "superseded");
    assert.equal(takeAll(queue).length, 3);
});

test("a request that a peer repeats waits once, and is handled again once it was taken", () => {
    const queue = new ReceiveQueue();
    const wish = { type: "wish", host: "entry-2", engine: "i-1", model: "quotes", adapter: "a1" };
    const reasons = [wish, wish, { ...wish, adapter: "a2" }].map(message => queue.add(datagramOf(message)));
    assert.deepEqual(reasons, [undefined, "superseded", undefined]);
    assert.equal(queue.add(datagramOf(wish, OTHER_PEER)), undefined);
    assert.equal(takeAll(queue).length, 3);
    assert.equal(queue.add(datagramOf(wish)), undefined);
});

test("a digest is not handled after a later notice of the same host, which it would take back", () => {
    const queue = new ReceiveQueue();
    ["a:1", "b:1", "c:1"].forEach(source => queue.add(digestOf(1, source)));
    const digest = digestOf(1);
    const notice = noticeOf(1);
    [digest, notice].forEach(datagram => queue.add(datagram));
    const taken = takeAll(queue);
    assert.ok(taken.indexOf(digest) < taken.indexOf(notice));
});

test("many notices do not hold back the digests, nor many digests a notice", () => {
    const queue = new ReceiveQueue();
    [1, 2, 3].forEach(tokens => queue.add(noticeOf(tokens)));
    ["a:1", "b:1", "c:1"].forEach(source => queue.add(digestOf(1, source)));
    const types = takeAll(queue).map(({ bytes }) => (JSON.parse(bytes.toString()) as { type: string; }).type);
    assert.deepEqual(types, ["digest", "sent", "digest", "sent", "digest", "sent"]);
});

test("a sender that floods a host loses its own messages, not those of others", () => {
    const queue = new ReceiveQueue();
    const reasons = Array.from({ length: 100 }, () => queue.add(noticeOf(1)));
    assert.equal(reasons.filter(reason => reason === "sender-limit").length, 36);
    assert.equal(queue.add(noticeOf(1, OTHER_PEER)), undefined);
    queue.take();
    assert.equal(queue.add(noticeOf(1)), undefined);
    takeAll(queue);
    assert.equal(queue.add(noticeOf(1)), undefined);
});

test("what waits stays within 4 MB, however many senders there are", () => {
    const queue = new ReceiveQueue();
    const bytes = Buffer.alloc(48 * 1024, " ");
    const reasons = Array.from({ length: 1_000 }, (_, index) => queue.add({ bytes, source: `a:${index}` }));
    assert.equal(reasons.filter(reason => reason === undefined).length, 85);
    assert.equal(reasons.filter(reason => reason === "queue-full").length, 915);
    takeAll(queue);
    assert.equal(queue.add({ bytes, source: "a:1" }), undefined);
    queue.clear();
    assert.equal(queue.size, 0);
});

function changesOf(revision: number, source = PEER): WaitingDatagram {
    const change = { key: "servers/i-1", revision, value: "{}" };
    return datagramOf(
        { type: "changes", host: source, afterRevision: revision - 1, revision, changes: [change] },
        source,
    );
}

function newsOf(orderCount: number, source = PEER): WaitingDatagram {
    return datagramOf({ type: "news", host: source, engine: { engine: "i-1", orderCount, models: [] } }, source);
}

test("an engine that leaves is heard of before what waits of digests, aggregates and notices", () => {
    const queue = new ReceiveQueue();
    Array.from({ length: 10 }, (_, index) => `10.2.0.${index}:1`).forEach(source => {
        queue.add(digestOf(1, source));
        queue.add(datagramOf(createBusyAggregate(1, 2), source));
        queue.add(datagramOf({ ...createBusyAggregate(1, 2), scope: "rest" }, source));
        queue.add(noticeOf(1, source));
    });
    const urgent = [changesOf(7), newsOf(3), changesOf(8)];
    urgent.forEach(datagram => queue.add(datagram));
    assert.deepEqual(urgent.map(() => queue.take()), urgent);
    assert.equal(takeAll(queue).length, 40);
});

test("changes overtake a digest of their sender, and news of an engine does not, which that would take back", () => {
    const queue = new ReceiveQueue();
    const [digest, changes, news] = [digestOf(1), changesOf(7), newsOf(3)];
    [digestOf(1, OTHER_PEER), digest, news, changes].forEach(datagram => queue.add(datagram));
    const taken = takeAll(queue);
    assert.deepEqual(taken.slice(0, 3), [digest, news, changes]);
    const next = new ReceiveQueue();
    [digest, changes].forEach(datagram => next.add(datagram));
    assert.deepEqual(takeAll(next), [changes, digest]);
});

test("many changes do not hold back the digests for long", () => {
    const queue = new ReceiveQueue();
    Array.from({ length: 12 }, (_, index) => queue.add(changesOf(index + 1)));
    ["a:1", "b:1", "c:1"].forEach(source => queue.add(digestOf(1, source)));
    const types = takeAll(queue).map(({ bytes }) => (JSON.parse(bytes.toString()) as { type: string; }).type);
    assert.deepEqual(types.slice(0, 8), [
        "changes",
        "changes",
        "changes",
        "digest",
        "changes",
        "changes",
        "changes",
        "digest",
    ]);
});

test("changes and news count among the messages of their sender that may wait", () => {
    const queue = new ReceiveQueue();
    const reasons = Array.from(
        { length: 100 },
        (_, index) => queue.add(index % 2 === 0 ? changesOf(index) : noticeOf(1)),
    );
    assert.equal(reasons.filter(reason => reason === "sender-limit").length, 36);
    takeAll(queue);
    assert.equal(queue.add(changesOf(101)), undefined);
});

/** What messages of peers find in any case. */
const MINIMUM_BYTES = 1024 * 1024;

test("what waits draws on the memory of the host, and finds only the least of it where answers hold all", () => {
    const budget = new MemoryBudget({ machineBytes: 160_000_000 });
    const others = budget.begin("answers");
    others.reserve(2 * budget.budgetBytes);
    const queue = new ReceiveQueue(budget.begin("peers"));
    const sources = Array.from({ length: 20_000 }, (_, index) => `peer-${index}:1`);
    const reasons = sources.map(source => queue.add(digestOf(1, source)));
    assert.ok(reasons.includes("queue-full"));
    const bytes = budget.reservedBytes("peers");
    assert.ok(bytes > 0.9 * MINIMUM_BYTES && bytes <= MINIMUM_BYTES, `${bytes} bytes wait`);
    sources.slice(0, queue.size).forEach(source => queue.add(digestOf(2, source)));
    takeAll(queue);
    assert.equal(budget.reservedBytes("peers"), 0);
    queue.add(noticeOf(1));
    queue.clear();
    assert.equal(budget.reservedBytes("peers"), 0);
});
