/**
 * The decisions at which version a stream may go on.
 *
 * @module
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    BegunStreams,
    decideResumption,
    identifyStream,
    type NextRecordInput,
    readJournalEntry,
    ServiceVersions,
    StreamJournal,
    StreamKeepers,
    UNPROVEN_VERSION,
} from "./index.js";

const RETENTION_MILLISECONDS = 60_000;
const SERVICE = "bag-llm";
const GROUPS = 8;

/** Entries that all hosts together may have in the key-value service, besides those of processes that have ended. */
const MAXIMUM_ENTRIES = 128;

function input(versions: readonly string[], restores = 0): NextRecordInput {
    return {
        announced: versions.map(softwareVersion => ({ service: SERVICE, softwareVersion })),
        services: new Set([SERVICE]),
        restores,
        retentionMilliseconds: RETENTION_MILLISECONDS,
    };
}

/** Applies records until none is due. */
function settle(versions: ServiceVersions, next: NextRecordInput, nowMilliseconds: number): void {
    const record = versions.nextRecord(next, nowMilliseconds);
    if (record !== undefined) {
        versions.apply(record);
    }
    assert.equal(versions.nextRecord(next, nowMilliseconds), undefined);
}

test("no stream begins at a version before the version is on record", () => {
    const versions = new ServiceVersions();
    assert.equal(versions.mayBegin(SERVICE, "v1"), false);
    settle(versions, input(["v1"]), 0);
    assert.equal(versions.mayBegin(SERVICE, "v1"), true);
    assert.equal(versions.nextRecord(input(["v1", "v2"]), 1)?.services[0]?.versions.length, 2);
    assert.equal(versions.mayBegin(SERVICE, "v2"), false);
    assert.equal(versions.onlyVersion(SERVICE, 0), "v1");
});

test("a version whose upstreams have left stays on record until nobody resumes its streams", () => {
    const versions = new ServiceVersions();
    settle(versions, input(["v1", "v2"]), 0);
    settle(versions, input(["v2"]), 1_000);
    settle(versions, input(["v2"]), RETENTION_MILLISECONDS);
    assert.equal(versions.onlyVersion(SERVICE, 0), undefined);
    settle(versions, input(["v2"]), 1_000 + RETENTION_MILLISECONDS);
    assert.equal(versions.onlyVersion(SERVICE, 0), "v2");
});

test("a version that comes back before it is off the record starts its time anew", () => {
    const versions = new ServiceVersions();
    settle(versions, input(["v1", "v2"]), 0);
    settle(versions, input(["v2"]), 1_000);
    settle(versions, input(["v1", "v2"]), 30_000);
    settle(versions, input(["v2"]), 31_000);
    settle(versions, input(["v2"]), 1_000 + RETENTION_MILLISECONDS);
    assert.equal(versions.onlyVersion(SERVICE, 0), undefined);
});

test("after a restore one version on record proves nothing until the record was written anew and its time is over", () => {
    const versions = new ServiceVersions();
    settle(versions, input(["v1"]), 0);
    assert.equal(versions.onlyVersion(SERVICE, 1), undefined);
    settle(versions, input(["v1"], 1), 1_000);
    assert.equal(versions.onlyVersion(SERVICE, 1), undefined);
    assert.equal(versions.mayBegin(SERVICE, UNPROVEN_VERSION), true);
    settle(versions, input(["v1"], 1), 2_000);
    settle(versions, input(["v1"], 1), 2_000 + RETENTION_MILLISECONDS);
    assert.equal(versions.onlyVersion(SERVICE, 1), "v1");
});

test("a removed record is written again with the versions that it had", () => {
    const versions = new ServiceVersions();
    settle(versions, input(["v1", "v2"]), 0);
    versions.handleRemoved();
    assert.equal(versions.onlyVersion(SERVICE, 0), undefined);
    assert.deepEqual(versions.nextRecord(input(["v2"]), 1)?.services, [{ service: SERVICE, versions: ["v1", "v2"] }]);
});

test("a service without streams that callers may resume is not put on record", () => {
    const versions = new ServiceVersions();
    assert.equal(versions.nextRecord({ ...input(["v1"]), services: new Set() }, 0), undefined);
});

test("a stream that its caller resumes goes on only at a version that is proved", () => {
    const resumed = { hasEvents: true, knownVersion: undefined, isLookedUp: false };
    assert.deepEqual(decideResumption({ ...resumed, hasEvents: false }), { type: "begins" });
    assert.deepEqual(decideResumption(resumed), { type: "look-up" });
    assert.deepEqual(decideResumption({ ...resumed, isLookedUp: true }), { type: "unknown" });
    assert.deepEqual(decideResumption({ ...resumed, knownVersion: "v2" }), { type: "goes-on", version: "v2" });
});

test("the journal writes an entry again while streams are added to it, and starts another one after some seconds", () => {
    const journal = new StreamJournal();
    const [first, second, third] = ["a", "b", "c"].map(identifyStream);
    assert.ok(first !== undefined && second !== undefined && third !== undefined);
    journal.add({ stream: first, version: "v1" }, GROUPS, 100);
    const [entry] = journal.takeDue(GROUPS);
    journal.add({ stream: second, version: "v2" }, GROUPS, 200);
    journal.add({ stream: third, version: "v2" }, GROUPS, 4_100);
    const [again, next, ...others] = journal.takeDue(GROUPS);
    assert.ok(entry !== undefined && again !== undefined && next !== undefined && others.length === 0);
    assert.equal(entry.slot, again.slot);
    assert.notEqual(again.slot, next.slot);
    assert.deepEqual(readJournalEntry(again.streams), [
        { stream: first, version: "v1" },
        { stream: second, version: "v2" },
    ]);
    assert.deepEqual(readJournalEntry(next.streams), [{ stream: third, version: "v2" }]);
    assert.deepEqual(journal.takeDue(GROUPS), []);
});

test("the journal writes an entry that could not be written with the next ones, as it is by then", () => {
    const journal = new StreamJournal();
    const [first, second] = ["a", "b"].map(identifyStream);
    assert.ok(first !== undefined && second !== undefined);
    journal.add({ stream: first, version: "v1" }, 1, 100);
    const [entry] = journal.takeDue(GROUPS);
    assert.ok(entry !== undefined && !journal.hasDue);
    journal.putBack(entry);
    assert.deepEqual(journal.takeDue(GROUPS), [entry]);
    journal.add({ stream: second, version: "v1" }, 1, 200);
    journal.putBack(entry);
    const [again, ...others] = journal.takeDue(GROUPS);
    assert.deepEqual([again?.slot, again?.streams, others], [entry.slot, { v1: first + second }, []]);
});

test("the number of hosts that write the journal, and of its entries, is bounded", () => {
    const groupsOf = (hosts: number): number =>
        new StreamKeepers(Array.from({ length: hosts }, (_, index) => `entry-${index}`)).groupCount;
    assert.deepEqual([1, 7, 16, 17, 40, 100, 390].map(groupsOf), [1, 1, 1, 2, 4, 8, 8]);
    for (const groups of [1, 2, 4, 8]) {
        const journal = new StreamJournal();
        for (let milliseconds = 0; milliseconds < 200_000; milliseconds += 100) {
            journal.add({ stream: "stream-0", version: "v1" }, groups, milliseconds);
        }
        assert.equal(journal.takeDue(1_000).length, MAXIMUM_ENTRIES / groups);
    }
});

test("streams are forgotten after a minute", () => {
    const streams = new BegunStreams();
    streams.remember({ stream: "stream", version: "v1" }, 0);
    assert.equal(streams.versionOf("stream", 60_000), "v1");
    assert.equal(streams.versionOf("stream", 64_000), undefined);
});

for (const hostCount of [3, 9, 100, 390]) {
    test(`${hostCount} hosts: one of a stream's keepers is asked although another host is lost or joins`, () => {
        const hosts = Array.from({ length: hostCount }, (_, index) => `entry-${index}`);
        const keepers = new StreamKeepers(hosts);
        for (const stream of Array.from({ length: 64 }, (_, index) => identifyStream(`request-${index}`))) {
            const kept = keepers.keepersOf(stream);
            const without = new StreamKeepers(hosts.filter(host => host !== kept[0]));
            const joined = new StreamKeepers([...hosts, "entry-new"]);
            assert.ok(kept.slice(1).every(keeper => without.candidatesFor(stream).includes(keeper)));
            assert.ok(kept.every(keeper => joined.candidatesFor(stream).includes(keeper)));
        }
    });
}
