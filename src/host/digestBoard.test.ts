import assert from "node:assert/strict";
import { test } from "node:test";
import { createDigestBoard } from "./digestBoard.js";

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
    const board = createDigestBoard({ relays: () => false });
    board.noteEngine(engine, 1000, "own");
    assert.deepEqual(board.takeRound(1100).engines, [{ ...engine, observedMillisecondsAgo: 120 }]);
    assert.deepEqual(board.takeRound(1200).engines, []);
});

test("an older residency digest does not replace a newer one", () => {
    const board = createDigestBoard({ relays: () => false });
    assert.equal(board.noteResidency(residency, "own"), true);
    assert.equal(board.noteResidency({ ...residency, recordRevision: 1, adapters: ["old"] }, "own"), false);
    assert.deepEqual(board.takeRound(0).residency, [residency]);
});

test("residency is repeated for some rounds, then refreshed now and then, so that lost heartbeats lose nothing", () => {
    const board = createDigestBoard({ relays: () => false });
    board.noteResidency(residency, "own");
    const sent = Array.from({ length: 30 }, (_, round) => board.takeRound(round).residency.length);
    assert.deepEqual(sent.slice(0, 4), [1, 1, 1, 0]);
    assert.ok(sent.slice(4).filter(count => count === 1).length >= 2);
});

test("demand of one round is added up and told once", () => {
    const board = createDigestBoard({ relays: () => false });
    board.noteDemand({ model: "quotes", arrivals: 1, missed: 0 });
    board.noteDemand({ model: "quotes", arrivals: 1, missed: 1 });
    board.noteDemand({ model: "quotes", adapter: "bakery", arrivals: 1, missed: 0 });
    assert.deepEqual(board.takeRound(0).demand, [
        { model: "quotes", arrivals: 2, missed: 1 },
        { model: "quotes", adapter: "bakery", arrivals: 1, missed: 0 },
    ]);
    assert.deepEqual(board.takeRound(0).demand, []);
});

test("facts of peers are passed on only where heartbeats do not reach every host, and not again when heard again", () => {
    const mesh = createDigestBoard({ relays: () => false });
    const relay = createDigestBoard({ relays: () => true });
    for (const board of [mesh, relay]) {
        board.noteResidency(residency, "peer");
        board.noteEngine(engine, 1000, "peer");
    }
    assert.deepEqual([mesh.takeRound(1000).residency.length, relay.takeRound(1000).residency.length], [0, 1]);
    for (let round = 0; round < 3; round += 1) {
        relay.takeRound(1000);
    }
    relay.noteResidency(residency, "peer");
    relay.noteEngine(engine, 1000, "peer");
    assert.deepEqual([relay.takeRound(1000).residency.length, relay.takeRound(1000).engines.length], [0, 0]);
});

test("a starting host is told all residency and suspects, learned ones too; a conviction outlives later digests", () => {
    const board = createDigestBoard({ relays: () => false });
    board.noteResidency(residency, "peer");
    board.noteSuspects([{ fingerprint: "f", crashes: ["engine-1/a"], convicted: true }], "peer");
    board.noteSuspects([{ fingerprint: "f", crashes: ["engine-2/a"] }], "own");
    const state = board.sharedState();
    assert.deepEqual(state.residency, [residency]);
    assert.deepEqual(state.suspects[0]?.crashes, ["engine-1/a", "engine-2/a"]);
    assert.equal(state.suspects[0].convicted, true);
});

test("a copy that drains within one revision is told at once, and is not brought back by a digest passed on late", () => {
    const full = { ...residency, models: [{ name: "quotes", version: "1" }] };
    const holder = createDigestBoard({ relays: () => true });
    holder.noteResidency(full, "own");
    assert.equal(holder.noteResidency(residency, "own"), true);
    assert.deepEqual(holder.takeRound(0).residency, [residency]);
    const relay = createDigestBoard({ relays: () => true });
    relay.noteResidency(full, "peer");
    assert.equal(relay.noteResidency(residency, "peer"), true);
    assert.equal(relay.noteResidency(full, "peer"), false);
});
