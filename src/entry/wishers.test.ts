import assert from "node:assert/strict";
import { test } from "node:test";
import { Wishers } from "./wishers.js";

test("who asked lately is told of the engine, and no longer once the wish was not repeated", () => {
    const wishers = new Wishers();
    wishers.note("engine", "one", 0);
    wishers.note("engine", "two", 1_000);
    wishers.note("other", "three", 1_000);
    assert.deepEqual(wishers.of("engine", 1_100), ["one", "two"]);
    assert.deepEqual(wishers.of("engine", 1_500), ["two"]);
    assert.deepEqual(wishers.of("engine", 3_000), []);
});
