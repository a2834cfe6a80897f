import assert from "node:assert/strict";
import { test } from "node:test";
import { EngineMemoryUse } from "./index.js";

test("requests of other hosts count with the service's mean, own ones exactly and only while they run", () => {
    const memoryUse = new EngineMemoryUse();
    const short = { engine: "one", service: "chat", tokens: 500 };
    const long = { engine: "one", service: "chat", tokens: 2_500 };
    memoryUse.recordStarted(short);
    memoryUse.recordStarted(long);
    const requests = { engine: "one", service: "chat", requests: 4, ownRequests: 2 };
    assert.equal(memoryUse.heldTokens(requests), 6_000);
    memoryUse.recordFinished(long);
    assert.equal(memoryUse.heldTokens({ ...requests, requests: 1, ownRequests: 1 }), 500);
    memoryUse.recordFinished(short);
    memoryUse.recordFinished(short);
    assert.equal(memoryUse.heldTokens({ ...requests, requests: 0, ownRequests: 0 }), 0);
    assert.equal(memoryUse.heldTokens({ ...requests, service: "other", requests: 3, ownRequests: 0 }), 0);
});
