import assert from "node:assert/strict";
import { test } from "node:test";
import { unavailableShare } from "./unavailableShare.js";

test("a rate limit leaves the slots free that its requests do not occupy", () => {
    assert.equal(unavailableShare({ slots: 8, requestsPerSecond: 4, meanRunMilliseconds: 500 }), 0.75);
    assert.equal(unavailableShare({ slots: 8, requestsPerSecond: 0, meanRunMilliseconds: 500 }), 1);
});

test("a rate limit above what the slots can run leaves none free", () => {
    assert.equal(unavailableShare({ slots: 8, requestsPerSecond: 16, meanRunMilliseconds: 500 }), 0);
    assert.equal(unavailableShare({ slots: 8, requestsPerSecond: 40, meanRunMilliseconds: 500 }), 0);
});

test("no slot counts as unavailable without a limit or before a request was measured", () => {
    assert.equal(unavailableShare({ slots: 8, requestsPerSecond: undefined, meanRunMilliseconds: 500 }), 0);
    assert.equal(unavailableShare({ slots: 8, requestsPerSecond: 4, meanRunMilliseconds: undefined }), 0);
});

test("an engine that announces no slots is taken to have one", () => {
    assert.equal(unavailableShare({ slots: 0, requestsPerSecond: 1, meanRunMilliseconds: 500 }), 0.5);
});
