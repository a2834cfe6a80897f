import assert from "node:assert/strict";
import { test } from "node:test";
import { createDigest } from "../../tests/support/digests.js";
import { decodeAccountUse, encodeAccountUse } from "./accountUse.js";
import { CellAggregates } from "./cellAggregates.js";

const SENDER = { host: "a1", cell: "a1" };

test("use is the same after a message, and short where nothing was refused", () => {
    const use = [{ account: "a", admitted: 12, offered: 12 }, { account: "__proto__", admitted: 0, offered: 7 }];
    const encoded = encodeAccountUse(use);
    assert.equal(JSON.stringify(encoded), "{\"a\":[12],\"__proto__\":[0,7]}");
    assert.deepEqual(decodeAccountUse(JSON.parse(JSON.stringify(encoded)) as typeof encoded), use);
});

test("messages of deployments without quotas have no field for them", () => {
    const summary = new CellAggregates().aggregateOfCell(SENDER, createDigest("a1"), 0);
    assert.equal("accountUse" in summary || "accountUseHosts" in summary, false);
});

test("an aggregate adds up use and the hosts that told theirs", () => {
    const aggregates = new CellAggregates();
    aggregates.recordDigest(createDigest("a2", { accountUse: { a: [5], b: [1, 9] } }), 0);
    aggregates.recordDigest(createDigest("a3"), 0);
    const own = createDigest("a1", { accountUse: { a: [10, 20] } });
    const { accountUse, accountUseHosts } = aggregates.aggregateOfCell(SENDER, own, 100);
    assert.deepEqual({ accountUse, accountUseHosts }, { accountUse: { a: [15, 25], b: [1, 9] }, accountUseHosts: 2 });
    const selectUse = (): [] => [];
    assert.deepEqual(aggregates.aggregateOfCell({ ...SENDER, selectUse }, own, 100).accountUse, {});
});
