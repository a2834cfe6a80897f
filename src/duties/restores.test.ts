import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type ClockReading, EngineDuties } from "./index.js";

const BOUNDS = { confirmedMilliseconds: 1_500, handoverMilliseconds: 3_000 };
const WAIT_MILLISECONDS = BOUNDS.confirmedMilliseconds + BOUNDS.handoverMilliseconds;

function at(milliseconds: number): ClockReading {
    return { steadyMilliseconds: milliseconds, timeOfDayMilliseconds: 1_000_000 + milliseconds };
}

function createDuties(host: string, session: string, confirmedAt: number): EngineDuties {
    const created = new EngineDuties(host, BOUNDS);
    created.recordRenewal(session, at(confirmedAt));
    created.setSession(host, session, 0);
    return created;
}

test("after a restore, a new holder of an engine without a record waits until a lost holder must have stopped", () => {
    const duties = createDuties("one", "s2", 0);
    duties.recordRestore(0);
    assert.deepEqual(duties.dueAcquisitions(["engine"], 0), [{
        engine: "engine",
        expectedRevision: 0,
        settled: false,
    }]);
    duties.setHolder("engine", { host: "one", session: "s2", released: false, settled: false, revision: 9 }, 100);
    duties.recordRenewal("s2", at(4_400));
    assert.equal(duties.fencingNumber("engine", at(WAIT_MILLISECONDS - 1)), undefined);
    assert.equal(duties.fencingNumber("engine", at(WAIT_MILLISECONDS)), 9);
    assert.equal(duties.waitsForLostHolders(WAIT_MILLISECONDS), false);
});

test("after a restore, a host waits also where the snapshot contains its own record", () => {
    const duties = createDuties("one", "s1", 0);
    duties.setHolder("engine", { host: "one", session: "s1", released: false, settled: true, revision: 5 }, 0);
    duties.loseSession();
    duties.recordRestore(1_000);
    duties.recordRenewal("s2", at(1_100));
    duties.setSession("one", "s2", 0);
    duties.setHolder("engine", { host: "one", session: "s1", released: false, settled: true, revision: 1_005 }, 1_100);
    duties.setHolder("engine", { host: "one", session: "s2", released: false, settled: false, revision: 1_006 }, 1_200);
    duties.recordRenewal("s2", at(5_000));
    assert.equal(duties.fencingNumber("engine", at(5_499)), undefined);
    assert.equal(duties.fencingNumber("engine", at(5_500)), 1_006);
});

test("once another host has settled the restore, an engine without a record needs no wait", () => {
    const duties = createDuties("one", "s2", 0);
    duties.recordRestore(0);
    duties.recordRestoreSettled();
    assert.deepEqual(duties.dueAcquisitions(["engine"], 10), [{
        engine: "engine",
        expectedRevision: 0,
        settled: true,
    }]);
});

test("orders of a holder whose record was lost and of its successor are at least the hand-over time apart", () => {
    const times = fc.integer({ min: 0, max: 3_000 });
    fc.assert(
        fc.property(times, times, times, (lastRenewal, restoredAfter, restoreSeenAfter) => {
            const restoredAt = lastRenewal + restoredAfter;
            const lostHolder = createDuties("two", "s1", lastRenewal);
            lostHolder.setHolder(
                "engine",
                { host: "two", session: "s1", released: false, settled: true, revision: 5 },
                0,
            );
            const successor = createDuties("one", "s2", restoredAt);
            successor.recordRestore(restoredAt + restoreSeenAfter);
            const [acquisition] = successor.dueAcquisitions(["engine"], restoredAt + restoreSeenAfter);
            assert.ok(acquisition !== undefined);
            const record = {
                host: "one",
                session: "s2",
                released: false,
                settled: acquisition.settled,
                revision: 1_000,
            };
            successor.setHolder("engine", record, restoredAt + restoreSeenAfter);
            let lastOrder = Number.NEGATIVE_INFINITY;
            for (let now = lastRenewal; now < restoredAt + restoreSeenAfter + 6_000; now += 50) {
                successor.recordRenewal("s2", at(now));
                lastOrder = lostHolder.fencingNumber("engine", at(now)) === undefined ? lastOrder : now;
                if (successor.fencingNumber("engine", at(now)) !== undefined) {
                    assert.ok(
                        now - lastOrder >= BOUNDS.handoverMilliseconds,
                        `${now - lastOrder} ms after the last order`,
                    );
                    return;
                }
            }
            assert.fail("the successor never began to send orders");
        }),
        { seed: 23, numRuns: 200 },
    );
});
