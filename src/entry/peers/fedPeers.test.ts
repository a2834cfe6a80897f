import assert from "node:assert/strict";
import { test } from "node:test";
import { FedPeers } from "./fedPeers.js";

test("peers rely on a statement for its lifetime after they may have read it late", () => {
    const fedPeers = new FedPeers();
    fedPeers.recordStatement(["entry-7", "entry-9"], 0);
    fedPeers.recordStatement(["entry-9"], 500);
    assert.deepEqual(fedPeers.relying(3_000), ["entry-7", "entry-9"]);
    assert.deepEqual(fedPeers.relying(3_001), ["entry-9"]);
    assert.deepEqual(fedPeers.relying(3_501), []);
});
