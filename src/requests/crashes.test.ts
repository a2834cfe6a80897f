import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type HostsRun } from "../../measurements/policy/hostsRun.js";
import { type Arrival } from "../../measurements/policy/runTypes.js";
import { createArrival, runSmall } from "../../tests/support/requestRuns.js";

const PROPERTY_SEED = 20261203;
const PROPERTY_RUNS = 150;
const CRASHING_FINGERPRINT = "killer";
const FIRST_CRASHING_REQUEST_MILLISECONDS = 3_000;
const END_MILLISECONDS = 120_000;

const scenario = fastCheck.record({
    seed: fastCheck.nat(1_000_000),
    hosts: fastCheck.integer({ min: 1, max: 4 }),
    engines: fastCheck.integer({ min: 1, max: 4 }),
    crashesAfterMilliseconds: fastCheck.integer({ min: 5, max: 700 }),
    crashNoticeLoss: fastCheck.constantFrom(0, 0.5, 1),
    onTwoHostsAtOnce: fastCheck.boolean(),
    repeatedRequests: fastCheck.array(
        fastCheck.record({
            afterMilliseconds: fastCheck.nat(20_000),
            host: fastCheck.nat(3),
            cancelAfterMilliseconds: fastCheck.option(fastCheck.integer({ min: 50, max: 3_000 }), { nil: undefined }),
        }),
        { maxLength: 6 },
    ),
    connectionLossesAtMilliseconds: fastCheck.array(fastCheck.integer({ min: 1_000, max: 20_000 }), { maxLength: 4 }),
    otherRequests: fastCheck.integer({ min: 5, max: 40 }),
});

type Scenario = typeof scenario extends fastCheck.Arbitrary<infer Value> ? Value : never;

function createArrivals(drawn: Scenario): Arrival[] {
    const { crashesAfterMilliseconds } = drawn;
    const crashing = { fingerprint: CRASHING_FINGERPRINT, crashesAfterMilliseconds, outputTokens: 400 };
    const otherRequests = Array.from(
        { length: drawn.otherRequests },
        (_, index) =>
            createArrival(`companion-${index}`, index % drawn.hosts, 1_000 + 150 * index, {
                class: index % 4 === 0 ? "patient" : "urgent",
            }),
    );
    const firstHosts = drawn.onTwoHostsAtOnce && drawn.hosts > 1 ? [0, 1] : [0];
    const firstCrashing = firstHosts.map(host =>
        createArrival(`killer-at-${host}`, host, FIRST_CRASHING_REQUEST_MILLISECONDS, crashing)
    );
    const repeated = drawn.repeatedRequests.map(({ afterMilliseconds, cancelAfterMilliseconds, host }, index) => {
        const change = cancelAfterMilliseconds === undefined ? crashing : { ...crashing, cancelAfterMilliseconds };
        const atMilliseconds = FIRST_CRASHING_REQUEST_MILLISECONDS + afterMilliseconds;
        return createArrival(`killer-again-${index}`, host % drawn.hosts, atMilliseconds, change);
    });
    return [...otherRequests, ...firstCrashing, ...repeated];
}

function runScenario(drawn: Scenario): HostsRun {
    return runSmall({
        seed: drawn.seed,
        hosts: drawn.hosts,
        engines: drawn.engines,
        network: { crashNoticeLoss: drawn.crashNoticeLoss },
        arrivals: createArrivals(drawn),
        endMilliseconds: END_MILLISECONDS,
        prepare: run => {
            for (const atMilliseconds of drawn.connectionLossesAtMilliseconds) {
                run.events.schedule(atMilliseconds, () => run.cutConnection());
            }
        },
    });
}

test("a request that crashes engines crashes at most two of them, and all other requests are answered", () => {
    fastCheck.assert(
        fastCheck.property(scenario, drawn => {
            const run = runScenario(drawn);
            assert.ok(run.crashes.length <= 2, `${run.crashes.length} engines crashed`);
            for (const record of run.records.values()) {
                const { identifier, fingerprint } = record.arrival.request;
                const isCancelled = record.answers === 0 && record.arrival.cancelAfterMilliseconds !== undefined;
                assert.equal(record.answers, isCancelled ? 0 : 1, `${identifier} has ${record.answers} answers`);
                if (record.refusal?.ran === "not-run") {
                    assert.equal(record.taken, false, `${identifier} was started by an engine but refused as not run`);
                }
                if (fingerprint === CRASHING_FINGERPRINT) {
                    assert.equal(record.finishedAtMilliseconds, undefined);
                    continue;
                }
                assert.notEqual(
                    record.refusal?.reason,
                    "request-crashes-engines",
                    `${identifier} was refused as crashing engines`,
                );
                if (record.taken) {
                    assert.equal(record.refusal, undefined, `${identifier}: ${record.refusal?.reason ?? ""}`);
                }
            }
        }),
        { seed: PROPERTY_SEED, numRuns: PROPERTY_RUNS },
    );
});

test("a fingerprint confirmed as crashing engines is refused immediately on every host", () => {
    const repeated = [0, 1, 2].map(host =>
        createArrival(`again-${host}`, host, 60_000, {
            fingerprint: CRASHING_FINGERPRINT,
            crashesAfterMilliseconds: 20,
        })
    );
    const first = createArrival("first", 0, 1_000, {
        fingerprint: CRASHING_FINGERPRINT,
        crashesAfterMilliseconds: 20,
    });
    const run = runSmall({
        seed: PROPERTY_SEED,
        hosts: 3,
        engines: 3,
        arrivals: [first, ...repeated],
        endMilliseconds: 61_000,
    });
    assert.equal(run.crashes.length, 2);
    for (const { request } of repeated) {
        const record = run.records.get(request.identifier);
        assert.deepEqual(record?.refusal, { reason: "request-crashes-engines", ran: "not-run" });
        assert.equal(record.refusedAtMilliseconds, 60_000);
    }
});
