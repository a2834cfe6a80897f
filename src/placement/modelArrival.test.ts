import assert from "node:assert/strict";
import { test } from "node:test";
import { type EngineProspect, expectedArrivalMilliseconds } from "./index.js";

const MODEL = { storeLoadMilliseconds: 5_000 };

function prospect(overrides: Partial<EngineProspect> = {}): EngineProspect {
    return { hasLocalWeights: false, loadingForMilliseconds: undefined, ...overrides };
}

test("a model that nobody loads takes as long as a load, or a short one where its weights are at hand", () => {
    assert.equal(expectedArrivalMilliseconds(MODEL, [prospect(), prospect()]), 6_000);
    assert.equal(expectedArrivalMilliseconds(MODEL, [prospect(), prospect({ hasLocalWeights: true })]), 2_250);
});

test("a model that is being loaded takes what is left of its load, whatever another engine could do", () => {
    const loading = prospect({ loadingForMilliseconds: 4_500 });
    assert.equal(expectedArrivalMilliseconds(MODEL, [loading, prospect({ hasLocalWeights: true })]), 1_500);
    const first = prospect({ loadingForMilliseconds: 1_000 });
    assert.equal(expectedArrivalMilliseconds(MODEL, [first, loading]), 1_500);
});

test("a load that is overdue may end at any moment", () => {
    assert.equal(expectedArrivalMilliseconds(MODEL, [prospect({ loadingForMilliseconds: 30_000 })]), 500);
});
