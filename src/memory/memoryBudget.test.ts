import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { MemoryBudget, type MemoryReservation } from "./index.js";

const MEGABYTE = 1_000_000;

test("the budget of a machine leaves room for the program", () => {
    for (const megabytes of [160, 250, 350, 602]) {
        const { budgetBytes } = new MemoryBudget({ machineBytes: megabytes * MEGABYTE });
        assert.ok(budgetBytes > 0 && budgetBytes < (megabytes - 100) * MEGABYTE, `${megabytes} MB`);
    }
    assert.ok(new MemoryBudget({ machineBytes: 64 * MEGABYTE }).budgetBytes > 0);
});

test("requests find no room while answers still do", () => {
    const budget = new MemoryBudget({ machineBytes: 350 * MEGABYTE });
    const requests = budget.begin("requests");
    const answers = budget.begin("answers");
    const piece = Math.floor(budget.budgetBytes / 100);
    while (requests.tryReserve(piece)) {
        assert.ok(requests.bytes <= budget.budgetBytes);
    }
    assert.equal(answers.tryReserve(piece), true);
    requests.release();
    assert.equal(requests.tryReserve(piece), true);
});

test("memory is short for requests once half of what they may take is in use, by whatever", () => {
    const budget = new MemoryBudget({ machineBytes: 350 * MEGABYTE });
    const answers = budget.begin("answers");
    answers.reserve(Math.floor(0.29 * budget.budgetBytes));
    assert.equal(budget.isShortFor("requests"), false);
    answers.reserve(Math.floor(0.02 * budget.budgetBytes));
    assert.equal(budget.isShortFor("requests"), true);
    answers.release();
    assert.equal(budget.isShortFor("requests"), false);
});

test("memory that is in use already is counted beyond the budget", () => {
    const budget = new MemoryBudget({ machineBytes: 350 * MEGABYTE });
    const answers = budget.begin("answers");
    answers.reserve(2 * budget.budgetBytes);
    assert.equal(answers.tryReserve(1), false);
    answers.release(2 * budget.budgetBytes);
    assert.equal(answers.tryReserve(1), true);
});

test("what is reserved is the sum of what its holders hold, and within the budget, in any order", () => {
    const step = fc.record({ holder: fc.nat(4), bytes: fc.nat(80 * MEGABYTE), releases: fc.boolean() });
    fc.assert(fc.property(fc.array(step, { maxLength: 60 }), steps => {
        const budget = new MemoryBudget({ machineBytes: 250 * MEGABYTE });
        const holders: MemoryReservation[] = Array.from({ length: 5 }, () => budget.begin("requests"));
        for (const { bytes, holder, releases } of steps) {
            const reservation = holders[holder];
            if (releases) {
                reservation?.release(bytes);
            }
            else {
                reservation?.tryReserve(bytes);
            }
            const heldBytes = holders.reduce((total, each) => total + each.bytes, 0);
            assert.equal(budget.reservedBytes("requests"), heldBytes);
            assert.ok(heldBytes <= budget.budgetBytes);
            assert.ok(holders.every(({ bytes: held }) => held >= 0));
        }
    }));
});

test("calls find no room while what they are expected to bring exceeds the budget, but a few always do", () => {
    const budget = new MemoryBudget({ machineBytes: 160 * MEGABYTE });
    const calls = budget.begin("calls");
    const piece = 196_608;
    while (calls.tryReserve(piece)) {
        assert.ok(calls.bytes <= budget.budgetBytes);
    }
    assert.ok(budget.hasRoomFor("requests", piece), "requests are read, and refused when they are sent");
    assert.ok(budget.hasRoomFor("answers", piece));
    calls.release();
    budget.begin("answers").reserve(2 * budget.budgetBytes);
    assert.ok(calls.tryReserve(piece));
});
