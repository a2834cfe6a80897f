import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { renderTextPage, TEXT_PAGE } from "./reference.js";

test("the reference of the operators' text equals what its schema gives", () => {
    assert.equal(readFileSync(TEXT_PAGE, "utf8"), renderTextPage(), "run npx tsx scripts/reference.ts");
});
