import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createDeployment, missingModels, requestAdapters } from "../../tests/support/residencyDeployments.js";
import { type Fault, Fleet } from "../../tests/support/residencyFleet.js";

const PROPERTY_SEED = 20261203;
const RUNS = 100;
const RESTART_INTERVAL_MILLISECONDS = 20_000;
const FAULTS_END_MILLISECONDS = 60_000;
const SETTLED_MILLISECONDS = 150_000;

/** Kinds whose combinations are the hardest to handle are listed more often. */
const kinds: readonly Fault["kind"][] = [
    "pause",
    "restart",
    "restart",
    "store-outage",
    "lose-order",
    "lose-answer",
    "lose-answer",
    "delay-order",
    "delay-order",
    "delay-order",
    "lose-store-answer",
    "delay-store-write",
    "refuse-memory",
    "stale-report",
    "lease-lapse",
    "text",
    "text",
    "text",
];

const faultArbitrary: fastCheck.Arbitrary<Fault[]> = fastCheck.array(
    fastCheck.record({
        kind: fastCheck.constantFrom(...kinds),
        atMilliseconds: fastCheck.integer({ min: 0, max: FAULTS_END_MILLISECONDS }),
        choice: fastCheck.integer({ min: 0, max: 59 }),
    }),
    { maxLength: 40, size: "max" },
);

/**
 * On engines that ignore fencing numbers, only a restart frees the memory of a load whose answer was lost. Where this
 * prevents a model from being placed, the decision must explain it; then the engines are restarted one after the other,
 * as an operator would do.
 */
function restartEnginesWithUncertainMemory(fleet: Fleet): void {
    for (const name of missingModels(fleet)) {
        const isExplained = fleet.explained.some(line =>
            line.includes(` ${name}: `) && line.includes("until it restarts")
        );
        assert.ok(isExplained, `${name} is not resident, and no explanation was given`);
    }
    for (const engine of missingModels(fleet).length > 0 ? fleet.engines : []) {
        engine.restart(fleet.now);
        fleet.runUntil(fleet.now + RESTART_INTERVAL_MILLISECONDS);
    }
}

for (const checksFencing of [true, false]) {
    const deployments = [
        createDeployment({ checksFencing }),
        createDeployment({ checksFencing, version: "2" }),
        createDeployment({ checksFencing, version: "3", role: "wide" }),
        createDeployment({ checksFencing, role: "wide", moreAdapters: true }),
    ];
    test(`under faults, memory and last copies are preserved, and all models load (fencing: ${checksFencing})`, () => {
        fastCheck.assert(
            fastCheck.property(fastCheck.nat(), faultArbitrary, (seed, faults) => {
                const fleet = new Fleet({ seed, deployments, faults });
                for (let at = 5_000; at <= FAULTS_END_MILLISECONDS; at += 11_000) {
                    fleet.runUntil(at);
                    requestAdapters(fleet);
                }
                fleet.runUntil(SETTLED_MILLISECONDS);
                if (!checksFencing) {
                    restartEnginesWithUncertainMemory(fleet);
                }
                assert.deepEqual(fleet.violations, []);
                assert.deepEqual(missingModels(fleet), []);
            }),
            { seed: PROPERTY_SEED, numRuns: RUNS, endOnFailure: true },
        );
    });
}
