import assert from "node:assert/strict";
import { test } from "node:test";
import { gossipBytesPerSecond } from "./index.js";

test("messages take half of a link, 10 Mbit/s where its capacity is not known", () => {
    assert.equal(gossipBytesPerSecond(875_000), 437_500);
    assert.equal(gossipBytesPerSecond(undefined), 625_000);
});

test("a digest also leaves a host whose link is tiny", () => {
    assert.ok(gossipBytesPerSecond(0) >= 16 * 1024);
    assert.ok(gossipBytesPerSecond(125) >= 16 * 1024);
});
