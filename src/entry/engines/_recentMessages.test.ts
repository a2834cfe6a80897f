import assert from "node:assert/strict";
import { test } from "node:test";
import { RecentMessages } from "./_recentMessages.js";

test("a message is not taken for one with other parts, nor for recent once its interval is over", () => {
    const recent = new RecentMessages(100);
    assert.equal(recent.has(["a", "b"], 0), false);
    recent.record(["a", "b"], 0);
    recent.record(["c", "d"], 50);
    assert.equal(recent.has(["a", "b"], 99), true);
    assert.equal(recent.has(["ab", ""], 99), false);
    assert.equal(recent.has(["a", "b"], 100), false);
    assert.equal(recent.has(["c", "d"], 100), true);
    recent.record(["c", "d"], 120);
    assert.equal(recent.has(["c", "d"], 219), true);
    assert.equal(recent.has(["c", "d"], 220), false);
});
