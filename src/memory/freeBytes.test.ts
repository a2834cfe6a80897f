import assert from "node:assert/strict";
import { test } from "node:test";
import { freeBytes } from "./index.js";

test("bytes with memory of their own are emptied, those that share it stay", () => {
    const own = Buffer.allocUnsafeSlow(65_536);
    const shared = Buffer.allocUnsafeSlow(65_536).fill("a");
    const part = shared.subarray(0, 10);
    freeBytes(own);
    freeBytes(part);
    freeBytes(Buffer.alloc(0));
    assert.equal(own.length, 0);
    assert.equal(part.toString(), "aaaaaaaaaa");
});

test("memory is freed at once", () => {
    const before = process.memoryUsage().arrayBuffers;
    const bytes = Buffer.allocUnsafeSlow(1_048_576);
    assert.ok(process.memoryUsage().arrayBuffers - before >= bytes.length);
    freeBytes(bytes);
    assert.ok(process.memoryUsage().arrayBuffers - before < 1_048_576);
});
