import assert from "node:assert/strict";
import { test } from "node:test";
import { READ_INTERVAL_MILLISECONDS, ReadTimes } from "./index.js";

test("time in which a host read nothing does not count as time in which it could hear others", () => {
    const reads = new ReadTimes(0);
    for (
        let now = READ_INTERVAL_MILLISECONDS;
        now <= 20 * READ_INTERVAL_MILLISECONDS;
        now += READ_INTERVAL_MILLISECONDS
    ) {
        assert.equal(reads.recordRead(now), undefined);
        assert.equal(reads.listenedMilliseconds(now), now);
    }
    const stoppedAt = 20 * READ_INTERVAL_MILLISECONDS;
    const resumedAt = stoppedAt + 6_000;
    const listenedBefore = reads.listenedMilliseconds(stoppedAt);
    assert.equal(reads.isBehind(resumedAt), true);
    assert.ok(reads.listenedMilliseconds(resumedAt) - listenedBefore < 300);
    assert.equal(reads.recordRead(resumedAt), 6_000);
    assert.equal(reads.isBehind(resumedAt), false);
    assert.ok(reads.listenedMilliseconds(resumedAt) - listenedBefore < 300);
    assert.equal(
        reads.listenedMilliseconds(resumedAt + 100) - reads.listenedMilliseconds(resumedAt),
        100,
        "it counts again once the host reads",
    );
});
