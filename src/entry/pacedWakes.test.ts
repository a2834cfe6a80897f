import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { PacedWakes } from "./pacedWakes.js";

/** Longer than the interval of wakes, with time for timers that fire late. */
const PAST_INTERVAL_MILLISECONDS = 60;

function createWakes(): { readonly wakes: PacedWakes; readonly countWakes: () => number; } {
    let count = 0;
    const wakes = new PacedWakes({
        wake: () => {
            count += 1;
        },
        readClock: () => performance.now(),
    });
    return { wakes, countWakes: () => count };
}

function endOfTurn(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}

test("the changes of one message wake waiting requests once, at the end of the turn", async () => {
    const { countWakes, wakes } = createWakes();
    wakes.request();
    wakes.request();
    wakes.request();
    assert.equal(countWakes(), 0, "requests are dispatched before the whole message is applied");
    await endOfTurn();
    assert.equal(countWakes(), 1);
    wakes.close();
});

test("changes soon after a wake are followed by one more, and none is forgotten", async () => {
    const { countWakes, wakes } = createWakes();
    wakes.request();
    await endOfTurn();
    wakes.request();
    wakes.request();
    await endOfTurn();
    assert.equal(countWakes(), 1);
    await delay(PAST_INTERVAL_MILLISECONDS);
    assert.equal(countWakes(), 2);
    await delay(PAST_INTERVAL_MILLISECONDS);
    assert.equal(countWakes(), 2);
    wakes.request();
    await endOfTurn();
    assert.equal(countWakes(), 3);
    wakes.close();
});

test("closed wakes wake nobody", async () => {
    const { countWakes, wakes } = createWakes();
    wakes.request();
    wakes.close();
    wakes.request();
    await delay(PAST_INTERVAL_MILLISECONDS);
    assert.equal(countWakes(), 0);
});
