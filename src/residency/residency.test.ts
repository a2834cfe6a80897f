import { parse } from "jsonc-parser";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { createDeployment, missingModels, requestAdapters } from "../../tests/support/residencyDeployments.js";
import { Fleet } from "../../tests/support/residencyFleet.js";
import { deploymentSchema } from "../generated/deployment.js";

for (const checksFencing of [true, false]) {
    test(`without faults, all models and requested adapters become resident (fencing: ${checksFencing})`, () => {
        const deployment = createDeployment({ checksFencing });
        const fleet = new Fleet({ seed: 1, deployments: [deployment], faults: [] });
        fleet.runUntil(5_000);
        requestAdapters(fleet);
        fleet.runUntil(40_000);
        assert.deepEqual(fleet.violations, []);
        assert.deepEqual(missingModels(fleet), []);
        const adapters = fleet.engines.flatMap(engine => engine.report().adapters);
        assert.deepEqual([...new Set(adapters)].sort(), deployment.adapters.map(adapter => adapter.name));
        assert.ok(fleet.maximumConcurrentLoads <= 3);
    });
}

for (const name of ["sakan", "arrieta"]) {
    test(`placement of ${name}'s first pool stops changing under constant demand`, () => {
        const deployment = deploymentSchema.parse(parse(readFileSync(`examples/${name}.jsonc`, "utf8")));
        const fleet = new Fleet({ seed: 1, deployments: [deployment], faults: [] });
        fleet.runUntil(60_000);
        requestAdapters(fleet);
        fleet.runUntil(180_000);
        const loads = fleet.loads;
        fleet.runUntil(360_000);
        assert.equal(fleet.loads, loads);
        assert.deepEqual(fleet.violations, []);
    });
}
