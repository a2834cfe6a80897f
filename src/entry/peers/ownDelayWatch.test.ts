import assert from "node:assert/strict";
import { test } from "node:test";
import { OwnDelayWatch } from "./ownDelayWatch.js";

test("only time in which the host itself did not run counts as its delay, and counts once", () => {
    let now = 0;
    const delays: number[] = [];
    const watch = new OwnDelayWatch({ readClock: () => now, onDelayed: milliseconds => delays.push(milliseconds) });
    for (const elapsedMilliseconds of [50, 50, 10, 200, 249, 250, 50, 2_550, 50]) {
        now += elapsedMilliseconds;
        watch.check();
    }
    assert.deepEqual(delays, [200, 2_500]);
});
