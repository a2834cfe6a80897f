import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { REFERENCE_PAGE, renderReferencePage } from "./reference.js";

test("the committed reference of the configuration equals the page rendered from its schemas", () => {
    assert.equal(readFileSync(REFERENCE_PAGE, "utf8"), renderReferencePage(), "run npx tsx scripts/reference.ts");
});
