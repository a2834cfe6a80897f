import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ExpectedMemory, MemoryBudget } from "./index.js";

const MACHINE_BYTES = 160_000_000;
const EXPECTED_BYTES = 196_608;

function reservedBytes(budget: MemoryBudget): number {
    return budget.reservedBytes("calls") + budget.reservedBytes("answers");
}

test("what is reserved for a call is the larger of what is expected and what is in use, in any order", () => {
    const step = fc.record({
        act: fc.constantFrom("tryReserve" as const, "reserve" as const, "release" as const, "expect" as const),
        bytes: fc.nat(2 * EXPECTED_BYTES),
        holder: fc.nat(1),
    });
    fc.assert(fc.property(fc.array(step, { maxLength: 30 }), steps => {
        const budget = new MemoryBudget({ machineBytes: MACHINE_BYTES });
        const memory = new ExpectedMemory(budget);
        const holders = [memory.begin("answers"), memory.begin("answers")];
        let expectedBytes = 0;
        for (const { act, bytes, holder } of steps) {
            if (act === "expect") {
                expectedBytes = bytes;
                memory.expect(bytes);
            }
            else {
                holders[holder]?.[act](bytes);
            }
            const usedBytes = holders.reduce((total, each) => total + each.bytes, 0);
            assert.equal(budget.reservedBytes("answers"), usedBytes);
            assert.equal(reservedBytes(budget), Math.max(expectedBytes, usedBytes));
        }
        memory.expect(0);
        holders.forEach(holder => holder.release());
        assert.equal(reservedBytes(budget), 0);
    }));
});

test("an answer that finds no room loses what was expected of it", () => {
    const budget = new MemoryBudget({ machineBytes: MACHINE_BYTES });
    const memory = new ExpectedMemory(budget);
    memory.expect(EXPECTED_BYTES);
    budget.begin("answers").reserve(budget.budgetBytes);
    const answer = memory.begin("answers");
    assert.equal(answer.tryReserve(EXPECTED_BYTES), false);
    assert.equal(budget.reservedBytes("calls"), EXPECTED_BYTES);
    answer.reserve(EXPECTED_BYTES);
    assert.equal(budget.reservedBytes("calls"), 0);
});
