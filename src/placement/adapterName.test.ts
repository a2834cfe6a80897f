import assert from "node:assert/strict";
import { test } from "node:test";
import { nameAdapter, splitAdapterName } from "./index.js";

test("a qualified adapter name splits into model and adapter, even if the adapter's name contains a slash", () => {
    assert.deepEqual(splitAdapterName(nameAdapter("quotes", "a3")), { model: "quotes", adapter: "a3" });
    assert.deepEqual(splitAdapterName(nameAdapter("quotes", "team/a3")), { model: "quotes", adapter: "team/a3" });
});
