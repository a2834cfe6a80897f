import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { createCollectingLogger } from "../../tests/support/collectedLines.js";
import { createEntryMetrics } from "../observability/index.js";
import { ReadTimes } from "../staleness/index.js";
import { ActQueue } from "./actQueue.js";

const FIRST_STALL_MILLISECONDS = 600;
const SECOND_STALL_MILLISECONDS = 1_500;

function start(context: TestContext, confirmView: () => Promise<boolean>): ActQueue {
    const readClock = (): number => performance.now();
    const acts = new ActQueue({
        reads: new ReadTimes(readClock()),
        readClock,
        logger: createCollectingLogger([]),
        metrics: createEntryMetrics(),
        confirmView,
    });
    acts.start();
    context.after(() => acts.close());
    return acts;
}

function stall(milliseconds: number): void {
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, milliseconds);
}

test("an act does not rest on an answer to a question that was asked before the last gap", async context => {
    const askedAt: number[] = [];
    const acts = start(context, async () => {
        askedAt.push(performance.now());
        await delay(20);
        return true;
    });
    stall(FIRST_STALL_MILLISECONDS);
    const acted = new Promise<number>(resolve => acts.enqueue(() => resolve(performance.now())));
    while (askedAt.length === 0) {
        await new Promise(resolve => setImmediate(resolve));
    }
    stall(SECOND_STALL_MILLISECONDS);
    const actedAt = await acted;
    const ageMilliseconds = actedAt - (askedAt.at(-1) ?? 0);
    assert.ok(ageMilliseconds < SECOND_STALL_MILLISECONDS, `the view was ${Math.round(ageMilliseconds)} ms old`);
});

test("an act that arrives right after a second gap does not pass as one on a current view", async context => {
    const askedAt: number[] = [];
    const acts = start(context, async () => {
        askedAt.push(performance.now());
        await delay(20);
        return true;
    });
    stall(FIRST_STALL_MILLISECONDS);
    acts.enqueue(() => undefined);
    while (askedAt.length === 0) {
        await new Promise(resolve => setImmediate(resolve));
    }
    await delay(5);
    stall(SECOND_STALL_MILLISECONDS);
    const actedAt = await new Promise<number>(resolve => acts.runOrEnqueue(() => resolve(performance.now())));
    const ageMilliseconds = actedAt - (askedAt.at(-1) ?? 0);
    assert.ok(ageMilliseconds < SECOND_STALL_MILLISECONDS, `the view was ${Math.round(ageMilliseconds)} ms old`);
});

test("an act that throws does not drop the acts behind it, nor those that wait for the next question", async context => {
    const acts = start(context, async () => {
        await delay(20);
        return true;
    });
    const thrown: unknown[] = [];
    const record = (error: unknown): void => void thrown.push(error);
    process.on("uncaughtException", record);
    context.after(() => process.off("uncaughtException", record));
    const order: string[] = [];
    acts.enqueue(() => {
        throw new Error("first");
    });
    acts.enqueue(() => order.push("second"));
    await delay(50);
    assert.deepEqual(order, ["second"]);
});

test("an act that throws after a gap does not drop the acts behind it", async context => {
    const acts = start(context, async () => {
        await delay(20);
        return true;
    });
    const thrown: unknown[] = [];
    const record = (error: unknown): void => void thrown.push(error);
    process.on("uncaughtException", record);
    process.on("unhandledRejection", record);
    context.after(() => {
        process.off("uncaughtException", record);
        process.off("unhandledRejection", record);
    });
    const order: string[] = [];
    stall(FIRST_STALL_MILLISECONDS);
    acts.enqueue(() => {
        throw new Error("first");
    });
    acts.enqueue(() => order.push("second"));
    await delay(200);
    assert.deepEqual(order, ["second"]);
});
