import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { createCollectingLogger } from "../../tests/support/collectedLines.js";
import { createEntryMetrics } from "../observability/index.js";
import { ReadTimes } from "../staleness/index.js";
import { ActQueue } from "./actQueue.js";

const TURNS = 12;
const RUN_MILLISECONDS = 10;
const STOP_MILLISECONDS = 490;
const ALLOWANCE_MILLISECONDS = 100;

function stall(milliseconds: number): void {
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, milliseconds);
}

/** Runs the host for a time; what the machine withholds of it counts as one millisecond. */
async function runHost(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += 1) {
        await delay(1);
    }
}

test("on a host that runs 10 of each 500 ms acts wait no longer than one stop and the time for the service", async context => {
    const readClock = (): number => performance.now();
    const acts = new ActQueue({
        reads: new ReadTimes(readClock()),
        readClock,
        logger: createCollectingLogger([]),
        metrics: createEntryMetrics(),
        confirmView: async () => {
            await delay(2 * RUN_MILLISECONDS);
            return true;
        },
    });
    acts.start();
    context.after(() => acts.close());
    const waits: number[] = [];
    for (let turn = 0; turn < TURNS; turn += 1) {
        stall(STOP_MILLISECONDS);
        const enqueuedAt = readClock();
        acts.enqueue(() => waits.push(Math.round(readClock() - enqueuedAt)));
        await runHost(RUN_MILLISECONDS);
    }
    await delay(2 * STOP_MILLISECONDS);
    context.diagnostic(`waits in ms: ${waits.join(" ")}`);
    assert.equal(waits.length, TURNS);
    assert.ok(Math.max(...waits) <= STOP_MILLISECONDS + ALLOWANCE_MILLISECONDS, `waits in ms: ${waits.join(" ")}`);
});
