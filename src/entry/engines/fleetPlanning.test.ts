import assert from "node:assert/strict";
import { test } from "node:test";
import { EngineFleet, type FleetEngine } from "../../../tests/support/engineFleet.js";
import { type EngineDefinition } from "../../routes/index.js";

const CELLS = 4;
const HOSTS_OF_CELL = 3;
const HOSTS = CELLS * HOSTS_OF_CELL;

/** Delay until hosts of other cells receive a change: two digests and one aggregate. */
const INTER_CELL_DELAY_MILLISECONDS = 1_600;

const LOAD_MILLISECONDS = 4_000;
const SLOTS = 12;
const MODEL_MEGABYTES = 70;

function definitionOf(models: readonly string[], modelsPerEngine: number): EngineDefinition {
    return {
        slots: SLOTS,
        cacheTokens: 30_000,
        weightMegabytes: modelsPerEngine * MODEL_MEGABYTES,
        adapterSlots: 0,
        loadsPerSecond: 13,
        models: models.map(name => ({
            name,
            weightMegabytes: MODEL_MEGABYTES,
            adapterCount: 0,
            adapterMegabytes: 0,
            storeLoadMilliseconds: LOAD_MILLISECONDS,
        })),
    };
}

function names(prefix: string, count: number): string[] {
    return Array.from({ length: count }, (_, index) => `${prefix}-${index}`);
}

/** Returns an engine whose holder is in another cell than the holders of engines with adjacent indexes. */
function engineOf(index: number, models: readonly string[]): FleetEngine {
    const holder = (index * HOSTS_OF_CELL + Math.floor(index / CELLS)) % HOSTS;
    return { id: `engine-${index}`, models, holder };
}

test("copies loaded at the start are not unloaded in favour of models without demand", async context => {
    const busyCopies = 4;
    const others = names("other", 8);
    const engines = [...names("busy", busyCopies).map(() => "busy"), ...others]
        .map((model, index) => engineOf(index, [model]));
    const fleet = new EngineFleet(context, {
        hosts: HOSTS,
        hostsOfCell: HOSTS_OF_CELL,
        interCellDelayMilliseconds: INTER_CELL_DELAY_MILLISECONDS,
        definition: definitionOf(["busy", ...others, ...names("missing", 12)], 1),
        engines,
        demand: () => new Map(),
    });
    let fewestCopies = busyCopies;
    await fleet.runUntil(15_000, () => {
        fewestCopies = Math.min(fewestCopies, fleet.copies("busy"));
    });
    assert.equal(fewestCopies, busyCopies, JSON.stringify(fleet.executedOrders));
});

test("a missing model is loaded on one engine only", async context => {
    const kept = names("kept", 12);
    const idle = names("idle", 12);
    const requested = names("wanted", 4);
    const models = [...kept, ...idle];
    const fleet = new EngineFleet(context, {
        hosts: HOSTS,
        hostsOfCell: HOSTS_OF_CELL,
        interCellDelayMilliseconds: INTER_CELL_DELAY_MILLISECONDS,
        definition: definitionOf([...models, ...requested], 2),
        engines: names("engine", HOSTS).map((_, index) =>
            engineOf(index, [models[index] ?? "", models[index + HOSTS] ?? ""])
        ),
        demand: () => new Map([...kept, ...requested].map(name => [name, 3])),
    });
    await fleet.runUntil(15_000);
    const loads = fleet.executedOrders.filter(({ operation }) => operation === "load");
    const loaded = loads.map(({ model }) => model).sort();
    assert.deepEqual(loaded, requested, JSON.stringify(fleet.executedOrders));
});

test("a model without requests is not unloaded during the demand warm-up", async context => {
    const requested = names("asked", 12);
    const models = [...requested, ...names("late", 12)];
    const fleet = new EngineFleet(context, {
        hosts: HOSTS,
        hostsOfCell: HOSTS_OF_CELL,
        interCellDelayMilliseconds: INTER_CELL_DELAY_MILLISECONDS,
        definition: definitionOf([...models, ...names("missing", 12)], 2),
        engines: names("engine", HOSTS).map((_, index) =>
            engineOf(index, [models[index] ?? "", models[index + HOSTS] ?? ""])
        ),
        demand: now => {
            const trafficMilliseconds = now - 5_000;
            const late = trafficMilliseconds > 1_500 ? names("late", 12) : [];
            const missing = trafficMilliseconds > 300 ? names("missing", 12) : [];
            return trafficMilliseconds < 0
                ? new Map()
                : new Map([...requested, ...late, ...missing].map(name => [name, 3]));
        },
    });
    await fleet.runUntil(7_000);
    const unloads = fleet.executedOrders.filter(({ operation }) => operation === "unload");
    assert.deepEqual(unloads, []);
});

test("a holder refuses a move that unloads a model its engine does not hold", async context => {
    const models = names("model", 4);
    const fleet = new EngineFleet(context, {
        hosts: 2,
        hostsOfCell: 2,
        interCellDelayMilliseconds: INTER_CELL_DELAY_MILLISECONDS,
        definition: definitionOf(models, 2),
        engines: [{ id: "engine-0", models: models.slice(0, 2), holder: 0 }],
        demand: () => new Map(),
    });
    await fleet.runUntil(1_000);
    const move = { engine: "engine-0", model: "model-2", reason: "no-copy", gain: 1 } as const;
    fleet.requestMove(0, { ...move, dropped: ["model-3"] });
    const refused = fleet.lines.filter(({ message }) => message === "move refused");
    assert.deepEqual(refused.map(({ fields }) => fields["reason"]), ["not as planned"]);
    await fleet.runUntil(2_000);
    assert.deepEqual(fleet.executedOrders, []);
    fleet.requestMove(0, { ...move, dropped: ["model-1"] });
    await fleet.runUntil(3_000);
    assert.deepEqual(fleet.executedOrders.map(({ model, operation }) => [operation, model]), [
        ["unload", "model-1"],
        ["load", "model-2"],
    ]);
});
