import assert from "node:assert/strict";
import { test } from "node:test";
import { memoryAfterCollection } from "../../tests/support/processMemory.js";
import { sharedParts } from "./index.js";

const PROMPTS = 4_000;
const PROMPT_CHARACTERS = 15_000;

/** Memory of the parts themselves, many times over. */
const KEPT_BYTES = 10_000_000;

test("the shared parts of a prompt are all but its last", () => {
    assert.deepEqual(sharedParts("5c1e07a2:800, 91bd3f06:410,:3,e4402b7d:250"), ["5c1e07a2", "91bd3f06"]);
    assert.deepEqual(sharedParts(undefined), []);
});

// Guards against a host whose memory is taken by the headers of requests that were answered long ago.
test("the shared parts of prompts keep the headers that named them, or their length, in memory", () => {
    const before = memoryAfterCollection().heapUsed;
    const parts = Array.from({ length: PROMPTS }, (_, index) => {
        const short = `${index}`.padEnd(32, "p");
        const long = `${index}`.padEnd(PROMPT_CHARACTERS, "q");
        return sharedParts(Buffer.from(`${short}:1,${long}:1,last:1`).toString());
    });
    const keptBytes = memoryAfterCollection().heapUsed - before;
    assert.equal(new Set(parts.flat()).size, 2 * PROMPTS);
    assert.ok(keptBytes < KEPT_BYTES, `${keptBytes} bytes`);
});
