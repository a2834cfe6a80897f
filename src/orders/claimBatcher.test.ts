import assert from "node:assert/strict";
import { test } from "node:test";
import { type ClaimBatcherEffect, createClaimBatcher } from "./index.js";

const SELF = { host: "self", incarnation: "self-1" };
const OTHER = { host: "other", incarnation: "other-1" };
const READ = { type: "read-answered", attempt: 1, shard: 0, read: { revision: 0, record: undefined } } as const;

function createBatcher(maximumClaims = 100) {
    let identifiers = 0;
    const identifier = (): string => `write-${identifiers += 1}`;
    return createClaimBatcher({
        identity: SELF,
        identifiers: identifier,
        wallClockOffsetMilliseconds: 0,
        shards: 1,
        maximumClaims,
    });
}

function claim(key: string, bodyHash = "hash") {
    return { type: "claim", key, bodyHash } as const;
}

function answersOf(effects: readonly ClaimBatcherEffect[]): string[] {
    return effects.flatMap(effect => effect.type === "claim-answered" ? [`${effect.key} ${effect.outcome}`] : []);
}

test("claims received during a read share one write, and those beyond the record's maximum are not claimed", () => {
    const batcher = createBatcher(3);
    assert.deepEqual(batcher.handle(claim("a"), 1).map(({ type }) => type), ["read"]);
    ["b", "c", "d"].forEach(key => assert.deepEqual(batcher.handle(claim(key), 1), []));
    const effects = batcher.handle(READ, 2);
    const write = effects.find(effect => effect.type === "write");
    assert.deepEqual(write?.record.claims.map(({ key }) => key), ["a", "b", "c"]);
    assert.deepEqual(answersOf(effects), ["d not-claimed"]);
    const answered = batcher.handle({ type: "written", attempt: 2, shard: 0, revision: 1 }, 3);
    assert.deepEqual(answersOf(answered), ["a claimed", "b claimed", "c claimed"]);
});

test("a write with an unknown outcome is verified by a read, and a conflict is won by the earlier claim", () => {
    const batcher = createBatcher();
    batcher.handle(claim("a"), 1);
    const [write] = batcher.handle(READ, 2);
    assert.ok(write?.type === "write");
    const [read] = batcher.handle({ type: "write-failed", attempt: 2, shard: 0, notSent: false }, 3);
    assert.equal(read?.type, "read");
    const readBack = {
        type: "read-answered",
        attempt: 3,
        shard: 0,
        read: { revision: 1, record: write.record },
    } as const;
    assert.deepEqual(answersOf(batcher.handle(readBack, 4)), ["a claimed"]);
    batcher.handle(claim("b"), 5);
    const otherClaim = { ...OTHER, key: "b", bodyHash: "hash", claimedAtMilliseconds: 5 };
    const current = { revision: 2, record: { writeIdentifier: "x", claims: [...write.record.claims, otherClaim] } };
    const effects = batcher.handle({ type: "conflict", attempt: 4, shard: 0, current }, 6);
    assert.deepEqual(answersOf(effects), ["b claimed-by-another"]);
    assert.deepEqual(answersOf(batcher.handle(claim("b", "other-hash"), 7)), ["b other-body"]);
});

test("while the service is unreachable, a claim is answered with when its key was last absent, and fails if a write may hold it", () => {
    const batcher = createBatcher();
    batcher.handle(claim("a"), 10);
    batcher.handle(READ, 12);
    batcher.handle({ type: "write-failed", attempt: 2, shard: 0, notSent: false }, 13);
    assert.deepEqual(batcher.handle({ type: "read-failed", attempt: 3, shard: 0 }, 14), [
        { type: "claim-failed", key: "a", absentSinceMilliseconds: 10 },
    ]);
    batcher.handle(claim("b"), 15);
    assert.deepEqual(batcher.handle({ type: "tick" }, 5_000), [
        { type: "claim-answered", key: "b", outcome: "not-claimed", absentSinceMilliseconds: 10 },
    ]);
    assert.deepEqual(batcher.handle({ type: "read-failed", attempt: 4, shard: 0 }, 5_001), []);
});

test("a record is read again after the start delay, and after a change of peers", () => {
    const batcher = createBatcher();
    batcher.handle(claim("a"), 100);
    batcher.handle(READ, 101);
    batcher.handle({ type: "written", attempt: 2, shard: 0, revision: 1 }, 102);
    const reads = (now: number): number => batcher.handle({ type: "tick" }, now).length;
    assert.deepEqual([reads(2_599), reads(2_600)], [0, 1]);
    batcher.handle({ ...READ, attempt: 3 }, 2_601);
    assert.equal(reads(10_000), 0);
    batcher.handle({ type: "peers-changed" }, 10_001);
    assert.equal(reads(10_100), 1);
});

test("an unused claim of this process older than a minute is written again before use, so that it outlives the execution", () => {
    const batcher = createBatcher();
    batcher.handle(claim("a"), 1);
    const [write] = batcher.handle(READ, 2);
    assert.ok(write?.type === "write");
    batcher.handle({ type: "written", attempt: 2, shard: 0, revision: 1 }, 3);
    assert.deepEqual(answersOf(batcher.handle(claim("a"), 60_000)), ["a claimed"]);
    const [renewal] = batcher.handle(claim("a"), 61_000);
    assert.ok(renewal?.type === "write");
    assert.deepEqual(renewal.record.claims.map(({ claimedAtMilliseconds }) => claimedAtMilliseconds), [61_000]);
});
