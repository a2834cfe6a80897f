import assert from "node:assert/strict";
import { test } from "node:test";
import { DemandMeter } from "./demandMeter.js";

const WORK = 320;

/** Requests that really run at once: one a second, each for as long as it takes. */
const ARRIVALS_PER_SECOND = 1;

test("after its first measured requests a host tells demand by how long engines really take", () => {
    const tookMilliseconds = 800;
    const really = ARRIVALS_PER_SECOND * tookMilliseconds / 1_000;
    const meter = new DemandMeter();
    for (let second = 0; second < 20; second += 1) {
        meter.add("quotes", WORK, second * 1_000);
    }
    [780, 820, 800].forEach(took => {
        meter.recordRun(WORK, took);
    });
    const told = meter.concurrency(19_500)["quotes"] ?? 0;
    assert.ok(told > really * 0.7 && told < really * 1.4, `${told} told of ${really}`);
});

test("one slow request among many measured ones changes what is told by a twentieth of the difference", () => {
    const meter = new DemandMeter();
    meter.add("quotes", WORK, 0);
    Array.from({ length: 100 }, () => WORK * 2).forEach(took => {
        meter.recordRun(WORK, took);
    });
    const before = meter.concurrency(0)["quotes"] ?? 0;
    meter.recordRun(WORK, WORK * 4);
    const after = meter.concurrency(0)["quotes"] ?? 0;
    assert.ok(Math.abs(after / before - 1.05) < 0.001, `${before} and ${after}`);
});
