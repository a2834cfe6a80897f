import assert from "node:assert/strict";
import { test } from "node:test";
import { AdapterRequesters } from "./adapterRequesters.js";

test("who asked lately is told of the engine, and no longer once the wish was not repeated", () => {
    const wishers = new AdapterRequesters();
    wishers.record("engine", "one", 0);
    wishers.record("engine", "two", 1_000);
    wishers.record("other", "three", 1_000);
    assert.deepEqual(wishers.hostsFor("engine", 1_100), ["one", "two"]);
    assert.deepEqual(wishers.hostsFor("engine", 1_500), ["two"]);
    assert.deepEqual(wishers.hostsFor("engine", 3_000), []);
});
