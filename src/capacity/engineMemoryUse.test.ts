import assert from "node:assert/strict";
import { test } from "node:test";
import { EngineMemoryUse } from "./index.js";

test("requests of other hosts count with the service's mean, own ones exactly and only while they run", () => {
    const memoryUse = new EngineMemoryUse();
    const short = { engine: "one", service: "chat", tokens: 500, outputTokens: 100 };
    const long = { engine: "one", service: "chat", tokens: 2_500, outputTokens: 100 };
    memoryUse.recordStarted(short);
    memoryUse.recordStarted(long);
    const requests = { engine: "one", service: "chat", requests: 4, ownRequests: 2 };
    // Two own requests, two of the mean of 1,500 tokens, and the deviation of two of 1,000 tokens.
    assert.equal(Math.round(memoryUse.heldTokens(requests)), Math.round(6_000 + Math.SQRT2 * 1_000));
    memoryUse.recordFinished(long);
    assert.equal(memoryUse.heldTokens({ ...requests, requests: 1, ownRequests: 1 }), 500);
    memoryUse.recordFinished(short);
    memoryUse.recordFinished(short);
    assert.equal(memoryUse.heldTokens({ ...requests, requests: 0, ownRequests: 0 }), 0);
    assert.equal(memoryUse.heldTokens({ ...requests, service: "other", requests: 3, ownRequests: 0 }), 0);
});

test("the mean counts what is found at engines: requests with long outputs stay for longer than others", () => {
    const memoryUse = new EngineMemoryUse();
    for (let request = 0; request < 200; request += 1) {
        const engine = "other";
        memoryUse.recordStarted({ engine, service: "chat", tokens: 500, outputTokens: 100 });
        memoryUse.recordStarted({ engine, service: "chat", tokens: 4_500, outputTokens: 300 });
    }
    const held = memoryUse.heldTokens({ engine: "one", service: "chat", requests: 100, ownRequests: 0 });
    assert.ok(held > 350_000 && held < 390_000, `${Math.round(held)} tokens, of which the deviation is 17,000`);
});
