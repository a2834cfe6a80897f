import assert from "node:assert/strict";
import { test } from "node:test";
import { createPlacementInput, createPlannedEngine as engine } from "../../tests/support/placementInputs.js";
import { type EngineDefinition } from "../routes/index.js";
import { type PlacementMove, planMoves, type PlannedEngine, VersionCopies } from "./index.js";

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

function versionOf(engineId: string): string | undefined {
    return engineId.split("-")[0];
}

/** Plans for engines whose names begin with their version. */
function plan(
    copies: VersionCopies,
    engines: readonly PlannedEngine[],
    nowMilliseconds: number,
    planned: readonly PlacementMove[] = [],
): PlacementMove[] {
    const input = createPlacementInput(DEFINITION, engines, { hot: 20, warm: 20, cold: 1 });
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

test("a model with little demand is loaded at its version in place of one that has copies at other versions", () => {
    const copies = new VersionCopies();
    copies.record({ ...NEED, model: "cold" }, 0);
    const engines = [engine("v1-a", ["cold", "hot"]), engine("v1-b", ["hot", "warm"]), engine("v2-a", ["hot", "warm"])];
    assert.deepEqual(plan(copies, engines, 100).map(move => [move.engine, move.model]), [["v2-a", "cold"]]);
});

test("a needed model is loaded although many models in greater demand have no copy anywhere", () => {
    const missing = Array.from({ length: 10 }, (_, index) => `missing-${index}`);
    const [model] = DEFINITION.models;
    assert.ok(model !== undefined);
    const definition = { ...DEFINITION, models: [...DEFINITION.models, ...missing.map(name => ({ ...model, name }))] };
    const demand = { hot: 20, warm: 20, cold: 1, ...Object.fromEntries(missing.map(name => [name, 30])) };
    const engines = [engine("v1-a", ["cold", "hot"]), engine("v1-b", ["hot", "warm"]), engine("v2-a", ["hot", "warm"])];
    const copies = new VersionCopies();
    copies.record({ ...NEED, model: "cold" }, 0);
    const input = createPlacementInput(definition, engines, demand);
    const moves = copies.plan({ service: SERVICE, input, planned: [], versionOf }, 100);
    assert.deepEqual(moves.map(move => [move.engine, move.model]), [["v2-a", "cold"]]);
});

test("the last copy at a version that streams need is not unloaded, although other versions have copies", () => {
    const demand = { hot: 2, warm: 120, cold: 1 };
    const engines = [engine("v1-a", ["cold", "hot"]), engine("v1-b", ["hot", "warm"]), engine("v2-a", ["hot", "cold"])];
    const copies = new VersionCopies();
    const unloadedAt = (version: string, nowMilliseconds: number): readonly string[] => {
        const kept = copies.keepNeeded({ service: SERVICE, engines, versionOf }, nowMilliseconds);
        const moves = planMoves(createPlacementInput(DEFINITION, kept, demand));
        return moves.filter(move => versionOf(move.engine) === version).flatMap(({ dropped }) => dropped);
    };
    assert.deepEqual(unloadedAt("v2", 0), ["cold"]);
    copies.record({ ...NEED, model: "cold" }, 0);
    assert.ok(!unloadedAt("v2", 100).includes("cold"));
    assert.deepEqual(unloadedAt("v2", 3_000), ["cold"]);
});

test("a copy is not kept while another engine of the version has one too", () => {
    const copies = new VersionCopies();
    copies.record(NEED, 0);
    const engines = [engine("v1-a", ["hot"]), engine("v2-a", ["hot"]), engine("v2-b", ["hot"])];
    assert.deepEqual(copies.keepNeeded({ service: SERVICE, engines, versionOf }, 100), engines);
});
