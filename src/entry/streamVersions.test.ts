import assert from "node:assert/strict";
import { test } from "node:test";
import { BEGUN, createVersions, lookUp } from "../../tests/support/streamLookUp.js";

/** Answers of busy hosts come this late. */
const LATE_MILLISECONDS = [20, 100, 200];

for (const milliseconds of LATE_MILLISECONDS) {
    test(`a stream is not unknown because a host that knows it answers after ${milliseconds} ms`, async context => {
        const versions = createVersions();
        context.after(() => versions.close());
        const outcome = lookUp(versions);
        setTimeout(() => versions.receive({ type: "streams-begun", host: "entry-2", streams: [BEGUN] }), milliseconds);
        assert.deepEqual(await outcome, { type: "found", version: "v1", source: "peer" });
    });
}

test("a stream is unknown once no host has answered for a while and the key-value service does not have it", async context => {
    const versions = createVersions();
    context.after(() => versions.close());
    assert.deepEqual(await lookUp(versions), { type: "unknown" });
});
