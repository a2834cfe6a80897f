import assert from "node:assert/strict";
import { test } from "node:test";
import { VersionCopyRequests } from "./_versionCopyRequests.js";

const NEED = { service: "llm", model: "quotes", version: "v1" };

test("a need of many streams is passed on some times a second, and each need by itself", () => {
    const requests = new VersionCopyRequests();
    const due = Array.from({ length: 200 }, (_, index) => requests.isDue(NEED, index * 10)).filter(isDue => isDue);
    assert.equal(due.length, 4);
    assert.ok(requests.isDue({ ...NEED, version: "v1.1" }, 2_000));
});
