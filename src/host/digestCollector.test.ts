import assert from "node:assert/strict";
import { test } from "node:test";
import { createDigestCollector } from "./digestCollector.js";

const engine = {
    engine: "engine-1",
    incarnation: "a",
    running: 1,
    waiting: 0,
    leaving: false,
    observedMillisecondsAgo: 20,
};
const residency = { engine: "engine-1", incarnation: "a", recordRevision: 2, models: [], adapters: [] };

test("an observed engine is sent once, with its age at the time of sending", () => {
    const collector = createDigestCollector({ forwardsPeerDigests: () => false });
    collector.recordEngine(engine, 1000, "own");
    assert.deepEqual(collector.finishRound(1100).engines, [{ ...engine, observedMillisecondsAgo: 120 }]);
    assert.deepEqual(collector.finishRound(1200).engines, []);
});

test("an older residency digest does not replace a newer one", () => {
    const collector = createDigestCollector({ forwardsPeerDigests: () => false });
    assert.equal(collector.recordResidency(residency, "own"), true);
    assert.equal(collector.recordResidency({ ...residency, recordRevision: 1, adapters: ["old"] }, "own"), false);
    assert.deepEqual(collector.finishRound(0).residency, [residency]);
});

test("residency is sent in three rounds and then at intervals, so that lost heartbeats do not lose it", () => {
    const collector = createDigestCollector({ forwardsPeerDigests: () => false });
    collector.recordResidency(residency, "own");
    const sent = Array.from({ length: 30 }, (_, round) => collector.finishRound(round).residency.length);
    assert.deepEqual(sent.slice(0, 4), [1, 1, 1, 0]);
    assert.ok(sent.slice(4).filter(count => count === 1).length >= 2);
});

test("demand of one round is added up and sent once", () => {
    const collector = createDigestCollector({ forwardsPeerDigests: () => false });
    collector.addDemand({ model: "quotes", arrivals: 1, missed: 0 });
    collector.addDemand({ model: "quotes", arrivals: 1, missed: 1 });
    collector.addDemand({ model: "quotes", adapter: "bakery", arrivals: 1, missed: 0 });
    assert.deepEqual(collector.finishRound(0).demand, [
        { model: "quotes", arrivals: 2, missed: 1 },
        { model: "quotes", adapter: "bakery", arrivals: 1, missed: 0 },
    ]);
    assert.deepEqual(collector.finishRound(0).demand, []);
});

test("peers' digests are forwarded only where heartbeats do not reach every host, and once when received twice", () => {
    const mesh = createDigestCollector({ forwardsPeerDigests: () => false });
    const relay = createDigestCollector({ forwardsPeerDigests: () => true });
    for (const collector of [mesh, relay]) {
        collector.recordResidency(residency, "peer");
        collector.recordEngine(engine, 1000, "peer");
    }
    assert.deepEqual([mesh.finishRound(1000).residency.length, relay.finishRound(1000).residency.length], [0, 1]);
    for (let round = 0; round < 3; round += 1) {
        relay.finishRound(1000);
    }
    relay.recordResidency(residency, "peer");
    relay.recordEngine(engine, 1000, "peer");
    assert.deepEqual([relay.finishRound(1000).residency.length, relay.finishRound(1000).engines.length], [0, 0]);
});

test("shared state contains digests received from peers, and a suspect stays confirmed after later digests", () => {
    const collector = createDigestCollector({ forwardsPeerDigests: () => false });
    collector.recordResidency(residency, "peer");
    collector.recordSuspects([{ fingerprint: "f", crashes: ["engine-1/a"], convicted: true }], "peer");
    collector.recordSuspects([{ fingerprint: "f", crashes: ["engine-2/a"] }], "own");
    const state = collector.sharedState();
    assert.deepEqual(state.residency, [residency]);
    assert.deepEqual(state.suspects[0]?.crashes, ["engine-1/a", "engine-2/a"]);
    assert.equal(state.suspects[0].convicted, true);
});

test("a copy that drains within one revision is removed, and a late forwarded digest does not add it again", () => {
    const full = { ...residency, models: [{ name: "quotes", version: "1" }] };
    const holder = createDigestCollector({ forwardsPeerDigests: () => true });
    holder.recordResidency(full, "own");
    assert.equal(holder.recordResidency(residency, "own"), true);
    assert.deepEqual(holder.finishRound(0).residency, [residency]);
    const relay = createDigestCollector({ forwardsPeerDigests: () => true });
    relay.recordResidency(full, "peer");
    assert.equal(relay.recordResidency(residency, "peer"), true);
    assert.equal(relay.recordResidency(full, "peer"), false);
});
