import assert from "node:assert/strict";
import { test } from "node:test";
import { READ_INTERVAL_MILLISECONDS, ReadTimes, ViewConfirmations } from "./index.js";

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

test("what arrived after the sockets were polled does not count as read", () => {
    const reads = new ReadTimes(10);
    assert.equal(reads.readUntilMilliseconds, 10);
    assert.equal(reads.recordRead(3_410, 20), 3_400);
    assert.equal(reads.readUntilMilliseconds, 20);
});

test("a view from before a gap in reading is current only after a question that was asked after the gap has ended", () => {
    const confirmations = new ViewConfirmations();
    assert.equal(confirmations.state, "current");
    confirmations.recordGap();
    assert.equal(confirmations.state, "ask");
    confirmations.recordAsked();
    assert.equal(confirmations.hasGapSinceAsked, false);
    confirmations.recordGap();
    assert.equal(confirmations.hasGapSinceAsked, true);
    confirmations.recordEnded();
    assert.equal(confirmations.state, "ask", "the answer was to a question from before the second gap");
    confirmations.recordAsked();
    confirmations.recordEnded();
    assert.equal(confirmations.state, "current");
});
