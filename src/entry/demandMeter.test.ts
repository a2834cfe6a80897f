import assert from "node:assert/strict";
import { test } from "node:test";
import { DemandMeter } from "./demandMeter.js";

const WORK = 320;

/** One request a second, so that the concurrency is the run time in seconds. */
const ARRIVALS_PER_SECOND = 1;

test("demand follows the measured run time after three requests", () => {
    const tookMilliseconds = 800;
    const expected = ARRIVALS_PER_SECOND * tookMilliseconds / 1_000;
    const meter = new DemandMeter();
    for (let second = 0; second < 20; second += 1) {
        meter.add("quotes", WORK, second * 1_000);
    }
    [780, 820, 800].forEach(took => {
        meter.recordRun(WORK, took);
    });
    const reported = meter.concurrency(19_500)["quotes"] ?? 0;
    assert.ok(reported > expected * 0.7 && reported < expected * 1.4, `${reported} reported, ${expected} expected`);
});

test("one slow request after a hundred measured ones changes the demand by a twentieth of the difference", () => {
    const meter = new DemandMeter();
    meter.add("quotes", WORK, 0);
    Array.from({ length: 100 }, () => WORK * 2).forEach(took => {
        meter.recordRun(WORK, took);
    });
    const before = meter.concurrency(0)["quotes"] ?? 0;
    meter.recordRun(WORK, WORK * 4);
    const after = meter.concurrency(0)["quotes"] ?? 0;
    assert.ok(Math.abs(after / before - 1.05) < 0.001, `${before} before, ${after} after`);
});
