import assert from "node:assert/strict";
import { test } from "node:test";
import { createPlacementInput, createPlannedEngine as engine } from "../../tests/support/placementInputs.js";
import { type EngineDefinition } from "../routes/index.js";
import { type PlacementMove, type PlannedEngine, VersionCopies } from "./index.js";

const SERVICE = "llm";
const NEED = { service: SERVICE, model: "hot", version: "v2" };

const DEFINITION: EngineDefinition = {
    slots: 64,
    cacheTokens: 100_000,
    weightMegabytes: 130,
    adapterSlots: 2,
    loadsPerSecond: 1,
    models: ["hot", "warm", "cold"].map(name => ({
        name,
        weightMegabytes: 60,
        adapterCount: 0,
        adapterMegabytes: 1,
        storeLoadMilliseconds: 1_200,
    })),
};

/** Plans for engines whose names begin with their version. */
function plan(
    copies: VersionCopies,
    engines: readonly PlannedEngine[],
    nowMilliseconds: number,
    planned: readonly PlacementMove[] = [],
): PlacementMove[] {
    const input = createPlacementInput(DEFINITION, engines, { hot: 20, warm: 20, cold: 1 });
    const versionOf = (id: string): string | undefined => id.split("-")[0];
    return copies.plan({ service: SERVICE, input, planned, versionOf }, nowMilliseconds);
}

test("a model that streams need at a version is loaded at an engine of that version, although others hold it", () => {
    const copies = new VersionCopies();
    const engines = [engine("v1-a", ["hot", "warm"]), engine("v1-b", ["hot"]), engine("v2-a", ["warm"])];
    assert.deepEqual(plan(copies, engines, 0), []);
    copies.record(NEED, 0);
    const [move, ...others] = plan(copies, engines, 100);
    assert.deepEqual([move?.engine, move?.model, others], ["v2-a", "hot", []]);
});

test("a need ends once an engine of the version loads the model, or nobody repeats it", () => {
    const copies = new VersionCopies();
    const engines = [engine("v1-a", ["hot"]), engine("v2-a", ["warm"]), engine("v2-b", ["cold"])];
    copies.record(NEED, 0);
    assert.deepEqual(plan(copies, [...engines, engine("v2-c", [], { loading: "hot" })], 100), []);
    assert.equal(plan(copies, engines, 100).length, 1);
    assert.deepEqual(plan(copies, engines, 3_000), []);
});

test("an engine with another planned move does not load a needed model too", () => {
    const copies = new VersionCopies();
    copies.record(NEED, 0);
    const planned = { engine: "v2-a", model: "cold", dropped: [], reason: "no-copy" as const, gain: 1 };
    assert.deepEqual(plan(copies, [engine("v1-a", ["hot"]), engine("v2-a", ["warm"])], 100, [planned]), []);
});
