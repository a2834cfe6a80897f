import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type HostsRun } from "../../measurements/policy/hostsRun.js";
import { type Arrival } from "../../measurements/policy/runTypes.js";
import { describeArrival, runSmall } from "../../tests/support/requestRuns.js";

const PROPERTY_SEED = 20261203;
const RUNS = 150;
const KILLER = "killer";
const FIRST_KILLER_MILLISECONDS = 3_000;
const END_MILLISECONDS = 120_000;

const scenario = fastCheck.record({
    seed: fastCheck.nat(1_000_000),
    hosts: fastCheck.integer({ min: 1, max: 4 }),
    engines: fastCheck.integer({ min: 1, max: 4 }),
    crashesAfterMilliseconds: fastCheck.integer({ min: 5, max: 700 }),
    crashNoticeLoss: fastCheck.constantFrom(0, 0.5, 1),
    atTheSameTime: fastCheck.boolean(),
    resends: fastCheck.array(
        fastCheck.record({
            afterMilliseconds: fastCheck.nat(20_000),
            host: fastCheck.nat(3),
            cancelAfterMilliseconds: fastCheck.option(fastCheck.integer({ min: 50, max: 3_000 }), { nil: undefined }),
        }),
        { maxLength: 6 },
    ),
    cutsAtMilliseconds: fastCheck.array(fastCheck.integer({ min: 1_000, max: 20_000 }), { maxLength: 4 }),
    companions: fastCheck.integer({ min: 5, max: 40 }),
});

type Scenario = typeof scenario extends fastCheck.Arbitrary<infer Value> ? Value : never;

function describeArrivals(drawn: Scenario): Arrival[] {
    const { crashesAfterMilliseconds } = drawn;
    const killer = { fingerprint: KILLER, crashesAfterMilliseconds, outputTokens: 400 };
    const companions = Array.from(
        { length: drawn.companions },
        (_, index) =>
            describeArrival(`companion-${index}`, index % drawn.hosts, 1_000 + 150 * index, {
                class: index % 4 === 0 ? "patient" : "urgent",
            }),
    );
    const first = drawn.atTheSameTime && drawn.hosts > 1 ? [0, 1] : [0];
    const killers = first.map(host => describeArrival(`killer-at-${host}`, host, FIRST_KILLER_MILLISECONDS, killer));
    const resent = drawn.resends.map(({ afterMilliseconds, cancelAfterMilliseconds, host }, index) => {
        const change = cancelAfterMilliseconds === undefined ? killer : { ...killer, cancelAfterMilliseconds };
        const atMilliseconds = FIRST_KILLER_MILLISECONDS + afterMilliseconds;
        return describeArrival(`killer-again-${index}`, host % drawn.hosts, atMilliseconds, change);
    });
    return [...companions, ...killers, ...resent];
}

function runScenario(drawn: Scenario): HostsRun {
    return runSmall({
        seed: drawn.seed,
        hosts: drawn.hosts,
        engines: drawn.engines,
        network: { crashNoticeLoss: drawn.crashNoticeLoss },
        arrivals: describeArrivals(drawn),
        endMilliseconds: END_MILLISECONDS,
        prepare: run => {
            for (const atMilliseconds of drawn.cutsAtMilliseconds) {
                run.events.schedule(atMilliseconds, () => run.cutConnection());
            }
        },
    });
}

test("a request that crashes engines takes at most two with it, and its companions are answered", () => {
    fastCheck.assert(
        fastCheck.property(scenario, drawn => {
            const run = runScenario(drawn);
            assert.ok(run.crashes.length <= 2, `${run.crashes.length} engines crashed`);
            for (const record of run.records.values()) {
                const { identifier, fingerprint } = record.arrival.request;
                const isCancelled = record.answers === 0 && record.arrival.cancelAfterMilliseconds !== undefined;
                assert.equal(record.answers, isCancelled ? 0 : 1, `${identifier} has ${record.answers} answers`);
                if (record.refusal?.ran === "not-run") {
                    assert.equal(record.taken, false, `${identifier} was taken by an engine and refused as not run`);
                }
                if (fingerprint === KILLER) {
                    assert.equal(record.finishedAtMilliseconds, undefined);
                    continue;
                }
                assert.notEqual(record.refusal?.reason, "request-crashes-engines", `${identifier} was convicted`);
                if (record.taken) {
                    assert.equal(record.refusal, undefined, `${identifier}: ${record.refusal?.reason ?? ""}`);
                }
            }
        }),
        { seed: PROPERTY_SEED, numRuns: RUNS },
    );
});

test("a convicted fingerprint is refused for good and at once on every host", () => {
    const again = [0, 1, 2].map(host =>
        describeArrival(`again-${host}`, host, 60_000, { fingerprint: KILLER, crashesAfterMilliseconds: 20 })
    );
    const first = describeArrival("first", 0, 1_000, { fingerprint: KILLER, crashesAfterMilliseconds: 20 });
    const run = runSmall({
        seed: PROPERTY_SEED,
        hosts: 3,
        engines: 3,
        arrivals: [first, ...again],
        endMilliseconds: 61_000,
    });
    assert.equal(run.crashes.length, 2);
    for (const { request } of again) {
        const record = run.records.get(request.identifier);
        assert.deepEqual(record?.refusal, { reason: "request-crashes-engines", ran: "not-run" });
        assert.equal(record.refusedAtMilliseconds, 60_000);
    }
});
