import assert from "node:assert/strict";
import { test } from "node:test";
import { StoreWatchPolicy } from "./storeWatchPolicy.js";

const MEMBERS = ["one", "two", "three", "four", "five"];

function createInput(host: string, revision = 41): { host: string; members: string[]; revision: number; } {
    return { host, members: MEMBERS, revision };
}

test("the first three hosts of a cell watch, the others rely on them", () => {
    const policy = new StoreWatchPolicy();
    policy.recordStatement({ host: "two", feeds: true, storeRevision: 41 }, 0);
    assert.deepEqual(MEMBERS.map(host => policy.mustWatch(createInput(host), 100)), [true, true, true, false, false]);
});

test("a host watches while no other host forwards changes", () => {
    const policy = new StoreWatchPolicy();
    assert.ok(policy.mustWatch(createInput("five"), 0), "no statement was recorded");
    policy.recordStatement({ host: "one", feeds: true, storeRevision: 41 }, 0);
    assert.ok(!policy.mustWatch(createInput("five"), 900));
    assert.ok(policy.mustWatch(createInput("five"), 1_000), "the statement has expired");
    policy.recordStatement({ host: "one", feeds: true, storeRevision: 41 }, 1_100);
    policy.recordStatement({ host: "one", feeds: false, storeRevision: 41 }, 1_500);
    assert.ok(policy.mustWatch(createInput("five"), 1_500), "the only watching host lost the service");
});

test("a host whose forwarded changes are overdue watches until it has them", () => {
    const policy = new StoreWatchPolicy();
    policy.recordStatement({ host: "one", feeds: true, storeRevision: 44 }, 0);
    assert.ok(!policy.mustWatch(createInput("five"), 0), "the changes may still be in flight");
    assert.ok(!policy.mustWatch(createInput("five"), 200));
    assert.ok(policy.mustWatch(createInput("five"), 250));
    assert.ok(!policy.mustWatch(createInput("five", 44), 300));
});
