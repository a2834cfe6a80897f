import assert from "node:assert/strict";
import { test } from "node:test";
import { AdapterRequesters } from "./adapterRequesters.js";

test("a host's adapter request on an engine expires 1.2 s after it was last recorded", () => {
    const requesters = new AdapterRequesters();
    requesters.record("engine", "one", 0);
    requesters.record("engine", "two", 1_000);
    requesters.record("other", "three", 1_000);
    assert.deepEqual(requesters.hostsFor("engine", 1_100), ["one", "two"]);
    assert.deepEqual(requesters.hostsFor("engine", 1_500), ["two"]);
    assert.deepEqual(requesters.hostsFor("engine", 3_000), []);
});
