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
    const board = createDigestBoard();
    board.noteEngine(engine, 1000);
    assert.deepEqual(board.takeRound(1100).engines, [{ ...engine, observedMillisecondsAgo: 120 }]);
    assert.deepEqual(board.takeRound(1200).engines, []);
});

test("an older residency digest does not replace a newer one", () => {
    const board = createDigestBoard();
    assert.equal(board.noteResidency(residency), true);
    assert.equal(board.noteResidency({ ...residency, recordRevision: 1, adapters: ["old"] }), false);
    assert.deepEqual(board.takeRound(0).residency, [residency]);
});

test("residency is repeated for some rounds, then refreshed now and then, so that lost heartbeats lose nothing", () => {
    const board = createDigestBoard();
    board.noteResidency(residency);
    const sent = Array.from({ length: 30 }, (_, round) => board.takeRound(round).residency.length);
    assert.deepEqual(sent.slice(0, 4), [1, 1, 1, 0]);
    assert.ok(sent.slice(4).filter(count => count === 1).length >= 2);
});

test("demand of one round is added up and told once", () => {
    const board = createDigestBoard();
    board.noteDemand({ model: "quotes", arrivals: 1, missed: 0 });
    board.noteDemand({ model: "quotes", arrivals: 1, missed: 1 });
    board.noteDemand({ model: "quotes", adapter: "bakery", arrivals: 1, missed: 0 });
    assert.deepEqual(board.takeRound(0).demand, [
        { model: "quotes", arrivals: 2, missed: 1 },
        { model: "quotes", adapter: "bakery", arrivals: 1, missed: 0 },
    ]);
    assert.deepEqual(board.takeRound(0).demand, []);
});
