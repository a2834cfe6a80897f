import assert from "node:assert/strict";
import { test } from "node:test";
import { type Deployment, deploymentSchema } from "../generated/deployment.js";
import { Fleet } from "./_testFleet.js";

interface TextOptions {
    readonly checksFencing: boolean;
    readonly version?: string;
    readonly role?: string;
    readonly engines?: number;
    readonly moreAdapters?: boolean;
}

function createText(
    { checksFencing, version = "1", role = "serve", engines = 4, moreAdapters = false }: TextOptions,
): Deployment {
    const sizes = [45, 40, 30, 25, 20, 15, 10];
    return deploymentSchema.parse({
        deployment: "test",
        zones: [{ name: "a", region: "r" }, { name: "b", region: "r" }],
        weightStore: { loadsPerSecond: 4, concurrentLoads: 3, concurrentAdapterLoads: 4 },
        placement: { attainmentWeight: 0.5, moveWeight: 0.5 },
        pools: [{
            name: "pool",
            checksFencing,
            memoryMegabytes: 100,
            slots: 4,
            role,
            roles: [{ name: "serve", megabytes: 4 }, { name: "wide", megabytes: 12 }],
            engines: Array.from({ length: engines }, (_, index) => ({
                name: `engine-${index}`,
                url: `http://127.0.0.1:${9000 + index}`,
                zone: index % 2 === 0 ? "a" : "b",
            })),
        }],
        models: sizes.map((megabytes, index) => ({
            name: `model-${index}`,
            version: index % 3 === 0 ? version : "1",
            megabytes,
            pools: ["pool"],
        })),
        adapters: Array.from({ length: moreAdapters ? 9 : 6 }, (_, index) => ({
            name: `adapter-${index}`,
            model: `model-${index % 3}`,
            megabytes: 2 + index % 3,
        })),
    });
}

function wantAdapters(fleet: Fleet): void {
    for (const adapter of fleet.text.adapters) {
        fleet.tellAll({ type: "adapter-wanted", model: adapter.model, adapter: adapter.name });
    }
}

function missingModels(fleet: Fleet): string[] {
    return fleet.text.models.filter(({ name, version }) =>
        !fleet.engines.some(engine => engine.loaded.has(`model ${name} ${version}`))
    ).map(model => model.name);
}

for (const checksFencing of [true, false]) {
    test(`without faults all models and wanted adapters become resident (fencing: ${checksFencing})`, () => {
        const text = createText({ checksFencing });
        const fleet = new Fleet({ seed: 1, texts: [text], faults: [] });
        fleet.runUntil(5_000);
        wantAdapters(fleet);
        fleet.runUntil(40_000);
        assert.deepEqual(fleet.violations, []);
        assert.deepEqual(missingModels(fleet), []);
        const adapters = fleet.engines.flatMap(engine => engine.report().adapters);
        assert.deepEqual([...new Set(adapters)].sort(), text.adapters.map(adapter => adapter.name));
        assert.ok(fleet.mostLoadsAtOnce <= 3);
    });
}
