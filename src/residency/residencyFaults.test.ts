import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Fault, Fleet } from "./_testFleet.js";
import { createText, missingModels, wantAdapters } from "./_testTexts.js";

const PROPERTY_SEED = 20261203;
const RUNS = 120;
const FAULTS_END_MILLISECONDS = 60_000;
const SETTLED_MILLISECONDS = 240_000;

const kinds: readonly Fault["kind"][] = [
    "pause",
    "restart",
    "store-outage",
    "lose-order",
    "lose-answer",
    "delay-order",
    "lose-store-answer",
    "delay-store-write",
    "refuse-memory",
    "stale-report",
    "lease-lapse",
    "text",
];

const faultArbitrary: fastCheck.Arbitrary<Fault[]> = fastCheck.array(
    fastCheck.record({
        kind: fastCheck.constantFrom(...kinds),
        atMilliseconds: fastCheck.integer({ min: 0, max: FAULTS_END_MILLISECONDS }),
        choice: fastCheck.integer({ min: 0, max: 59 }),
    }),
    { maxLength: 24, size: "max" },
);

for (const checksFencing of [true, false]) {
    const texts = [
        createText({ checksFencing }),
        createText({ checksFencing, version: "2" }),
        createText({ checksFencing, version: "3", role: "wide" }),
        createText({ checksFencing, role: "wide", moreAdapters: true }),
    ];
    test(`memory and last copies are kept under faults, and all become resident (fencing: ${checksFencing})`, () => {
        fastCheck.assert(
            fastCheck.property(fastCheck.nat(), faultArbitrary, (seed, faults) => {
                const fleet = new Fleet({ seed, texts, faults });
                for (let at = 5_000; at <= FAULTS_END_MILLISECONDS; at += 11_000) {
                    fleet.runUntil(at);
                    wantAdapters(fleet);
                }
                fleet.runUntil(SETTLED_MILLISECONDS);
                assert.deepEqual(fleet.violations, []);
                assert.deepEqual(missingModels(fleet), []);
            }),
            { seed: PROPERTY_SEED, numRuns: RUNS, endOnFailure: true },
        );
    });
}
