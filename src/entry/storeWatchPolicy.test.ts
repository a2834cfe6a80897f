import assert from "node:assert/strict";
import { test } from "node:test";
import { StoreWatchPolicy } from "./storeWatchPolicy.js";

const MEMBERS = ["one", "two", "three", "four", "five"];

function situation(host: string, revision = 41): { host: string; members: string[]; revision: number; } {
    return { host, members: MEMBERS, revision };
}

test("the first three hosts of a cell watch, the others go by them", () => {
    const feed = new StoreWatchPolicy();
    feed.recordStatement({ host: "two", feeds: true, storeRevision: 41 }, 0);
    assert.deepEqual(MEMBERS.map(host => feed.mustWatch(situation(host), 100)), [true, true, true, false, false]);
});

test("a host that nobody feeds watches for itself", () => {
    const feed = new StoreWatchPolicy();
    assert.ok(feed.mustWatch(situation("five"), 0), "nobody was heard");
    feed.recordStatement({ host: "one", feeds: true, storeRevision: 41 }, 0);
    assert.ok(!feed.mustWatch(situation("five"), 900));
    assert.ok(feed.mustWatch(situation("five"), 1_000), "the one that fed fell silent");
    feed.recordStatement({ host: "one", feeds: true, storeRevision: 41 }, 1_100);
    feed.recordStatement({ host: "one", feeds: false, storeRevision: 41 }, 1_500);
    assert.ok(feed.mustWatch(situation("five"), 1_500), "the one that fed lost the service");
});

test("a host that misses changes watches until it has them", () => {
    const feed = new StoreWatchPolicy();
    feed.recordStatement({ host: "one", feeds: true, storeRevision: 44 }, 0);
    assert.ok(!feed.mustWatch(situation("five"), 0), "they may be on their way");
    assert.ok(!feed.mustWatch(situation("five"), 200));
    assert.ok(feed.mustWatch(situation("five"), 250));
    assert.ok(!feed.mustWatch(situation("five", 44), 300));
});
