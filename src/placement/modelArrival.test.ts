import assert from "node:assert/strict";
import { test } from "node:test";
import { type EngineProspect, expectedArrivalMilliseconds } from "./index.js";

const MODEL = { storeLoadMilliseconds: 5_000 };

function prospect(overrides: Partial<EngineProspect> = {}): EngineProspect {
    return { hasLocalWeights: false, loadingForMilliseconds: undefined, ...overrides };
}

test("a model that no engine loads is expected after the fastest load, which is shorter for local weights", () => {
    assert.equal(expectedArrivalMilliseconds(MODEL, [prospect(), prospect()]), 6_000);
    assert.equal(expectedArrivalMilliseconds(MODEL, [prospect(), prospect({ hasLocalWeights: true })]), 2_250);
});

test("a loading model is expected after its remaining load time, even if another engine could be faster", () => {
    const loading = prospect({ loadingForMilliseconds: 4_500 });
    assert.equal(expectedArrivalMilliseconds(MODEL, [loading, prospect({ hasLocalWeights: true })]), 1_500);
    const first = prospect({ loadingForMilliseconds: 1_000 });
    assert.equal(expectedArrivalMilliseconds(MODEL, [first, loading]), 1_500);
});

test("an overdue load is expected to end within 500 ms", () => {
    assert.equal(expectedArrivalMilliseconds(MODEL, [prospect({ loadingForMilliseconds: 30_000 })]), 500);
});
