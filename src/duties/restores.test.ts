import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type ClockReading, EngineDuties } from "./index.js";

const BOUNDS = { confirmedMilliseconds: 1_500, handoverMilliseconds: 3_000 };
const WAIT_MILLISECONDS = BOUNDS.confirmedMilliseconds + BOUNDS.handoverMilliseconds;

function at(milliseconds: number): ClockReading {
    return { steadyMilliseconds: milliseconds, timeOfDayMilliseconds: 1_000_000 + milliseconds };
}

function duties(host: string, session: string, confirmedAt: number): EngineDuties {
    const created = new EngineDuties(host, BOUNDS);
    created.recordRenewal(session, at(confirmedAt));
    created.setSession(host, session);
    return created;
}

test("after a restore an engine without a record is not ordered until a lost holder must have stopped", () => {
    const own = duties("one", "s2", 0);
    own.recordRestore(0);
    assert.deepEqual(own.vacant(["engine"], 0), [{ engine: "engine", expectedRevision: 0, settled: false }]);
    own.setHolder("engine", { host: "one", session: "s2", released: false, settled: false, revision: 9 }, 100);
    own.recordRenewal("s2", at(4_400));
    assert.equal(own.fencingNumber("engine", at(WAIT_MILLISECONDS - 1)), undefined);
    assert.equal(own.fencingNumber("engine", at(WAIT_MILLISECONDS)), 9);
    assert.equal(own.waitsForLostHolders(WAIT_MILLISECONDS), false);
});

test("an own record that the copy brings back is no reason to go on at once", () => {
    const own = duties("one", "s1", 0);
    own.setHolder("engine", { host: "one", session: "s1", released: false, settled: true, revision: 5 }, 0);
    own.loseSession();
    own.recordRestore(1_000);
    own.recordRenewal("s2", at(1_100));
    own.setSession("one", "s2");
    own.setHolder("engine", { host: "one", session: "s1", released: false, settled: true, revision: 1_005 }, 1_100);
    own.setHolder("engine", { host: "one", session: "s2", released: false, settled: false, revision: 1_006 }, 1_200);
    own.recordRenewal("s2", at(5_000));
    assert.equal(own.fencingNumber("engine", at(5_499)), undefined);
    assert.equal(own.fencingNumber("engine", at(5_500)), 1_006);
});

test("once another host has settled the restore, an engine that nobody held is ordered at once", () => {
    const own = duties("one", "s2", 0);
    own.recordRestore(0);
    own.recordRestoreSettled();
    assert.deepEqual(own.vacant(["engine"], 10), [{ engine: "engine", expectedRevision: 0, settled: true }]);
});

test("a holder whose record is lost and the host that follows it never order within the hand-over time", () => {
    const times = fc.integer({ min: 0, max: 3_000 });
    fc.assert(
        fc.property(times, times, times, (lastRenewal, restoredAfter, heardAfter) => {
            const restoredAt = lastRenewal + restoredAfter;
            const lost = duties("two", "s1", lastRenewal);
            lost.setHolder("engine", { host: "two", session: "s1", released: false, settled: true, revision: 5 }, 0);
            const next = duties("one", "s2", restoredAt);
            next.recordRestore(restoredAt + heardAfter);
            const [taken] = next.vacant(["engine"], restoredAt + heardAfter);
            assert.ok(taken !== undefined);
            const record = { host: "one", session: "s2", released: false, settled: taken.settled, revision: 1_000 };
            next.setHolder("engine", record, restoredAt + heardAfter);
            let lastOrder = Number.NEGATIVE_INFINITY;
            for (let now = lastRenewal; now < restoredAt + heardAfter + 6_000; now += 50) {
                next.recordRenewal("s2", at(now));
                lastOrder = lost.fencingNumber("engine", at(now)) === undefined ? lastOrder : now;
                if (next.fencingNumber("engine", at(now)) !== undefined) {
                    assert.ok(now - lastOrder >= BOUNDS.handoverMilliseconds, `${now - lastOrder} ms after the last`);
                    return;
                }
            }
            assert.fail("the next holder never began");
        }),
        { seed: 23, numRuns: 200 },
    );
});
