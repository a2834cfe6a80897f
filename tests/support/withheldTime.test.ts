import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { WithheldTime } from "./withheldTime.js";

const STALL_MILLISECONDS = 200;

test("time in which the process could not run counts as withheld; time that it waits or computes does not", async context => {
    const withheld = new WithheldTime();
    context.after(() => withheld.close());
    const begin = performance.now();
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, STALL_MILLISECONDS);
    assert.ok(withheld.totalMilliseconds >= STALL_MILLISECONDS / 2, "before the timer has fired, too");
    await delay(STALL_MILLISECONDS);
    const afterStall = withheld.totalMilliseconds;
    const used = process.cpuUsage();
    const computedAt = performance.now();
    while (process.cpuUsage(used).user < STALL_MILLISECONDS * 1_000) {
        // Computes.
    }
    const computed = performance.now() - computedAt;
    const other = Math.max(0, computed - STALL_MILLISECONDS);
    assert.ok(withheld.totalMilliseconds - afterStall <= other, "what the process computes does not count");
    assert.ok(withheld.totalMilliseconds < performance.now() - begin);
});
