import assert from "node:assert/strict";
import { test } from "node:test";
import { nameAdapter, splitAdapterName } from "./index.js";

test("an adapter's name splits into its model and itself, also where the adapter's own name has a slash", () => {
    assert.deepEqual(splitAdapterName(nameAdapter("quotes", "a3")), { model: "quotes", adapter: "a3" });
    assert.deepEqual(splitAdapterName(nameAdapter("quotes", "team/a3")), { model: "quotes", adapter: "team/a3" });
});
