import assert from "node:assert/strict";
import { test } from "node:test";
import { findOwnStream, type FoundStream, ownerMark } from "./streamOwner.js";

const UNKNOWN: FoundStream = { type: "unknown" };

function found(version: string, source: "host" | "peer" | "store" | "only-version" = "peer"): FoundStream {
    return { type: "found", version, source };
}

test("a stream never goes on for another account than the one that began it", () => {
    const marked = found(ownerMark("mill"));
    assert.deepEqual(findOwnStream(UNKNOWN, marked, "loom"), UNKNOWN);
    assert.deepEqual(findOwnStream(found("v1", "only-version"), marked, "loom"), UNKNOWN);
    assert.deepEqual(findOwnStream(marked, UNKNOWN, undefined), UNKNOWN);
});

test("an account can resume its own stream", () => {
    const own = found("v1");
    assert.deepEqual(findOwnStream(own, found(ownerMark("mill")), "mill"), own);
    assert.deepEqual(findOwnStream(found("v1", "only-version"), found(ownerMark("mill")), "mill").type, "found");
    assert.deepEqual(findOwnStream(own, found(ownerMark("loom")), "mill"), own);
});

test("a stream that began before accounts were configured goes on, and the mark of an owner is never taken for a version", () => {
    assert.deepEqual(findOwnStream(found("v2", "only-version"), found("v1"), "mill"), found("v1"));
    assert.deepEqual(findOwnStream(UNKNOWN, found(ownerMark("mill")), "mill"), UNKNOWN);
});
