import assert from "node:assert/strict";
import { test } from "node:test";
import { HeldMemory, MemoryBudget } from "./index.js";

const MACHINE_BYTES = 160_000_000;
const BODY_BYTES = 1_000_000;

test("memory is released once, when the last of its holders gives it up, in any order", () => {
    for (const isFirstFirst of [true, false]) {
        const budget = new MemoryBudget({ machineBytes: MACHINE_BYTES });
        const memory = new HeldMemory(budget.begin("requests"));
        let freed = 0;
        memory.setFree(() => freed += 1);
        const holds = [memory.hold(), memory.hold()];
        memory.reservation.tryReserve(BODY_BYTES);
        const [first, last] = isFirstFirst ? holds : holds.reverse();
        first?.();
        first?.();
        assert.deepEqual([budget.reservedBytes("requests"), freed], [BODY_BYTES, 0]);
        last?.();
        last?.();
        assert.deepEqual([budget.reservedBytes("requests"), freed], [0, 1]);
    }
});

test("memory that nobody holds any more is freed at once, and cannot be held again", () => {
    const memory = new HeldMemory(new MemoryBudget({ machineBytes: MACHINE_BYTES }).begin("requests"));
    memory.hold()();
    let freed = 0;
    memory.setFree(() => freed += 1);
    assert.equal(freed, 1);
    assert.throws(() => memory.hold());
});
