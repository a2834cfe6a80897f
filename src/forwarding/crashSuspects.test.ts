import assert from "node:assert/strict";
import { test } from "node:test";
import {
    AdapterUse,
    CrashSuspects,
    maximumWaitMilliseconds,
    retryDelayMilliseconds,
    UnreachableReports,
} from "./index.js";

test("refuses a request that was running at two crashes, also where a peer reported one of them", () => {
    const suspects = new CrashSuspects();
    suspects.recordLostRequest("bad", "engine-1/7", 0);
    suspects.recordLostRequest("bystander", "engine-1/7", 0);
    suspects.recordCrash("engine-1/7", 500);
    assert.ok(!suspects.isRefused("bad"));
    suspects.recordPeerSuspect({ fingerprint: "bad", runs: ["engine-2/3"] }, 1_000);
    assert.ok(suspects.isRefused("bad"));
    assert.ok(!suspects.isRefused("bystander"));
    suspects.expire(62_000);
    assert.ok(!suspects.isRefused("bad"));
});

test("counts a crash once when it is reported twice, and ignores requests lost long before a crash", () => {
    const suspects = new CrashSuspects();
    suspects.recordLostRequest("request", "engine-1/7", 0);
    const [record] = suspects.recordCrash("engine-1/7", 100);
    assert.ok(record !== undefined);
    suspects.recordPeerSuspect(record, 200);
    assert.ok(!suspects.isRefused("request"));
    suspects.recordLostRequest("request", "engine-2/7", 1_000);
    suspects.recordCrash("engine-2/7", 9_000);
    assert.ok(!suspects.isRefused("request"));
});

const ROUTE = {
    name: "quotes",
    hostName: "h",
    pathPrefix: "/",
    kind: "event-stream",
    timeoutMilliseconds: 15_000,
    targetLatencyMilliseconds: 300,
    targetGapMilliseconds: 150,
    priority: 1,
    services: [],
    maximumAttempts: 2,
    resumable: true,
} as const;

test("limits a request's wait and a caller's retry delay by the caller's time limit, and spreads retries", () => {
    assert.ok(maximumWaitMilliseconds(ROUTE, 15_000) < 2_000);
    assert.ok(maximumWaitMilliseconds({ ...ROUTE, targetLatencyMilliseconds: 4_000 }, 25_000) <= 25_000 / 3);
    assert.ok(retryDelayMilliseconds(60_000, 9_000, 0.99) <= 3_000);
    const spread = [0, 0.5, 0.99].map(random => retryDelayMilliseconds(1_000, 9_000, random));
    assert.deepEqual(spread, [...new Set(spread)], "callers that were refused together retry at different times");
});

test("an upstream counts as unreachable on two hosts' reports, not on those of one, which may be partitioned", () => {
    const reports = new UnreachableReports();
    reports.record("engine", "one", 0);
    reports.record("engine", "one", 100);
    assert.ok(!reports.isUnreachable("engine", 100));
    reports.record("engine", "two", 200);
    assert.ok(reports.isUnreachable("engine", 900));
    assert.ok(!reports.isUnreachable("engine", 1_300));
    assert.deepEqual(reports.reportedBy("two", 900), ["engine"]);
    reports.record("engine", "one", 1_300);
    reports.record("engine", "two", 1_300);
    reports.clear("engine");
    assert.ok(!reports.isUnreachable("engine", 1_300));
});

test("an adapter is in use until the last request that uses it has ended", () => {
    const use = new AdapterUse();
    use.begin("engine", "quotes/a1");
    use.begin("engine", "quotes/a1");
    use.end("engine", "quotes/a1");
    assert.deepEqual(use.all(), { engine: ["quotes/a1"] });
    use.end("engine", "quotes/a1");
    use.end("engine", "quotes/a1");
    assert.deepEqual(use.all(), {});
});
