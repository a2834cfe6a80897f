import assert from "node:assert/strict";
import { test } from "node:test";
import { fairLevel, isOverFairShare } from "./fairShares.js";

test("what small accounts leave over goes to large ones, and no account gets more than it asks for", () => {
    const rates = new Map([["a", 600], ["b", 300], ["c", 100]]);
    assert.equal(fairLevel(rates, 800), 400);
    assert.equal(fairLevel(rates, 500), 200);
    assert.equal(fairLevel(rates, 1_000), Number.POSITIVE_INFINITY);
});

test("a small account is not put behind a large one, and an account alone is not put behind itself", () => {
    const rates = new Map([["a", 600], ["b", 300], ["c", 100]]);
    assert.deepEqual(["a", "b", "c", "unknown"].map(account => isOverFairShare(account, rates)), [
        true,
        false,
        false,
        false,
    ]);
    assert.equal(isOverFairShare("a", new Map([["a", 5]])), false);
});
