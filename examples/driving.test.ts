import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { driveRequests } from "./driving.js";

test("the driving example retries on the other engine after a crash, and equal seeds give equal histories", () => {
    const history = driveRequests(1);
    const dispatches = history.filter(entry => entry.includes("dispatch"));
    assert.equal(dispatches.length, 2);
    assert.notEqual(dispatches[0]?.split(" to ")[1], dispatches[1]?.split(" to ")[1]);
    assert.ok(history.some(entry => entry.endsWith("ended")));
    assert.deepEqual(driveRequests(1), history);
});

test("docs/DRIVING.md contains the source of the example", () => {
    const example = readFileSync("examples/driving.ts", "utf8").trim();
    assert.ok(readFileSync("docs/DRIVING.md", "utf8").includes(example));
});
