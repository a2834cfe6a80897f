import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { startCallers } from "../../standins/orders/callers.js";
import { createFabric, type FabricFaults } from "../../standins/orders/fabric.js";
import { findViolations } from "../../standins/orders/history.js";

const PROPERTY_SEED = 20261203;
const CALLERS = {
    orders: 120,
    intervalMilliseconds: 200,
    ticketShare: 0.7,
    duplicatedShare: 0.2,
    misdirectedShare: 0.3,
    reusedShare: 0.1,
    abandonedShare: 0.1,
};
const NO_FAULTS: FabricFaults = {
    dropShare: 0,
    duplicateShare: 0,
    slowShare: 0,
    clockSkewMilliseconds: 0,
    killsPerMinute: 0,
    pausesPerMinute: 0,
    leavesPerMinute: 0,
    plain: { refusedShare: 0, lostAnswerShare: 0, hangShare: 0 },
    store: { unreachable: "never", lostAnswerShare: 0 },
};

function share(maximum: number): fastCheck.Arbitrary<number> {
    return fastCheck.integer({ min: 0, max: Math.round(maximum * 100) }).map(hundredths => hundredths / 100);
}

const FAULTS = fastCheck.record({
    dropShare: share(0.1),
    duplicateShare: share(0.3),
    slowShare: share(0.1),
    clockSkewMilliseconds: fastCheck.constantFrom(0, 9_000, 25_000, 60_000),
    killsPerMinute: share(15),
    pausesPerMinute: share(15),
    leavesPerMinute: share(6),
    plain: fastCheck.record({ refusedShare: share(0.1), lostAnswerShare: share(0.1), hangShare: share(0.1) }),
    store: fastCheck.record({
        unreachable: fastCheck.constantFrom(
            "never" as const,
            "always" as const,
            "at times" as const,
            "in turns" as const,
        ),
        lostAnswerShare: share(0.2),
    }),
});

function run(seed: number, faults: FabricFaults, options: { readonly hosts: number; readonly ticketShare: number; }) {
    const fabric = createFabric({ seed, hosts: options.hosts, faults });
    const tally = startCallers(fabric, { ...CALLERS, ticketShare: options.ticketShare });
    fabric.schedule.runUntil(fabric.schedule.now + 40_000);
    fabric.stopFaults();
    fabric.schedule.runUntil(fabric.schedule.now + 100_000);
    return { fabric, tally, violations: findViolations(fabric.history) };
}

test("under random faults a key runs at most once, not-run is correct, results match the execution, and no request waits for ever", () => {
    const ticketShare = fastCheck.constantFrom(0, 0.7, 1);
    const hosts = fastCheck.integer({ min: 1, max: 9 });
    fastCheck.assert(
        fastCheck.property(fastCheck.nat(), FAULTS, ticketShare, hosts, (seed, faults, tickets, hostCount) => {
            const { fabric, tally, violations } = run(seed, faults, { hosts: hostCount, ticketShare: tickets });
            assert.deepEqual(violations, []);
            assert.equal(tally.open, 0);
            for (const { decision } of fabric.hosts) {
                const { waiting, inProgress } = decision.snapshot();
                assert.deepEqual({ waiting, inProgress }, { waiting: 0, inProgress: 0 });
            }
        }),
        { seed: PROPERTY_SEED, numRuns: 150, endOnFailure: true },
    );
});

test("without faults every order gets a result, with and without a ticket", () => {
    for (const ticketShare of [0, 1]) {
        const { tally, violations } = run(7, NO_FAULTS, { hosts: 7, ticketShare });
        assert.deepEqual(violations, []);
        assert.equal(tally.answered, CALLERS.orders);
    }
});

test("with the key-value service unreachable and one host killed, only dispatched orders are reported as may-have-run", () => {
    for (let seed = 1; seed <= 20; seed += 1) {
        const fabric = createFabric({
            seed,
            hosts: 7,
            faults: { ...NO_FAULTS, store: { unreachable: "always", lostAnswerShare: 0 } },
        });
        const tally = startCallers(fabric, { ...CALLERS, ticketShare: 1, reusedShare: 0 });
        fabric.schedule.after(5_000 + seed * 37, () => fabric.kill(seed % 7));
        fabric.schedule.runUntil(fabric.schedule.now + 120_000);
        assert.deepEqual(findViolations(fabric.history), []);
        const undispatchedMayHaveRun = fabric.history.reportedOutcomes.filter(({ outcome, dispatched }) =>
            outcome.type === "refused" && outcome.ran === "may-have-run" && !dispatched
        );
        assert.deepEqual(undispatchedMayHaveRun, []);
        assert.equal(tally.answered + tally.mayHaveRun, CALLERS.orders);
    }
});
