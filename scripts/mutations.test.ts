/**
 * The list of mutations fits the code.
 *
 * @module
 */
import assert from "node:assert/strict";
import { existsSync, readFileSync } from "node:fs";
import { test } from "node:test";
import { MUTATIONS } from "./_mutations.js";

test("the text of each mutation stands in its file once, and its test files exist", () => {
    for (const { file, name, original, tests } of MUTATIONS) {
        assert.equal(readFileSync(file, "utf8").split(original).length - 1, 1, `${name}: ${file}`);
        assert.deepEqual(tests.filter(path => !existsSync(path)), [], name);
    }
});

test("the names of the mutations differ", () => {
    assert.equal(new Set(MUTATIONS.map(({ name }) => name)).size, MUTATIONS.length);
});
