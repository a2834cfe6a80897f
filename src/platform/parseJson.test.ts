import assert from "node:assert/strict";
import { test } from "node:test";
import { parseJson } from "./index.js";

const TEXT_CHARACTERS = 15_000_000;

const repeated = (item: string): string => `[${item.repeat(TEXT_CHARACTERS / item.length)}0]`;

// Guards against hosts whose heap one answer fills, since its values take far more memory than its text.
for (const item of ["{},", "[],", "1,", "\"\",", "[", "{\"a\":[0,"]) {
    test(`a text of 15 MB of ${JSON.stringify(item)} is not parsed`, () => {
        const startedAt = performance.now();
        assert.equal(parseJson(repeated(item)), undefined);
        assert.ok(performance.now() - startedAt < 1_000);
    });
}

test("a large text of few values is parsed, whatever its strings hold", () => {
    const value = { "a\\": "[,{\"\\".repeat(1_000_000), list: [1, "\\\"", { b: "," }] };
    assert.deepEqual(parseJson(JSON.stringify(value)), value);
});
