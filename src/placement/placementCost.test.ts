import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Placement, PlacementCost } from "./_placementCost.js";

const MODELS = ["a", "b", "c", "d"];

const placements = fc.array(fc.subarray(MODELS), { minLength: 1, maxLength: 6 })
    .map((engines): Placement => new Map(engines.map((models, index) => [`engine-${index}`, new Set(models)])));
/** Loads are drawn in hundredths: floating-point numbers would mostly be drawn close to 0, where all costs are too. */
const loads = fc.array(fc.integer({ min: 0, max: 300 }), { minLength: 4, maxLength: 4 })
    .map(values => new Map(values.map((hundredths, index) => [MODELS[index] ?? "", hundredths / 100])));

function afterMove(placement: Placement, engine: string, dropped: string, added: string): Placement {
    const models = new Set(placement.get(engine));
    models.delete(dropped);
    models.add(added);
    return new Map(placement).set(engine, models);
}

test("the gains of a move and of its reversal add up to zero", () => {
    fc.assert(
        fc.property(placements, loads, fc.constantFrom(...MODELS), fc.nat(5), (placement, load, added, index) => {
            const engine = `engine-${index % placement.size}`;
            const [dropped] = [...placement.get(engine) ?? []].filter(model => model !== added);
            fc.pre(dropped !== undefined && placement.get(engine)?.has(added) === false);
            const forward = new PlacementCost(placement, load).gainOf(engine, added, [dropped]);
            const moved = afterMove(placement, engine, dropped, added);
            const reverse = new PlacementCost(moved, load).gainOf(engine, dropped, [added]);
            assert.ok(Math.abs(forward + reverse) < 1e-6, `${forward} forward and ${reverse} in reverse`);
        }),
        { seed: 43, numRuns: 500 },
    );
});

test("the gain of a move equals the sum of the gains of its steps", () => {
    fc.assert(
        fc.property(placements, loads, fc.constantFrom(...MODELS), fc.nat(5), (placement, load, added, index) => {
            const engine = `engine-${index % placement.size}`;
            const held = [...placement.get(engine) ?? []];
            fc.pre(!held.includes(added));
            const dropped = held.slice(0, 2);
            const kept = new Set(held.slice(2));
            const between = new Map(placement).set(engine, kept);
            const cost = new PlacementCost(placement, load);
            const together = cost.gainOf(engine, added, dropped);
            const inSteps = new PlacementCost(between, load).gainOf(engine, added, []) - cost.lossOf(engine, dropped);
            assert.ok(Math.abs(together - inSteps) < 1e-6, `${together} as one move and ${inSteps} in steps`);
        }),
        { seed: 44, numRuns: 1_000 },
    );
});

test("the gain of a first copy rises with the demand for the model", () => {
    const placement: Placement = new Map([["engine-0", new Set(["a"])], ["engine-1", new Set<string>()]]);
    const gainAt = (demand: number): number =>
        new PlacementCost(placement, new Map([["a", 0.2], ["b", demand]])).gainOf("engine-1", "b", []);
    assert.ok(gainAt(0) > 0);
    assert.ok(gainAt(0.1) > gainAt(0));
    assert.ok(gainAt(0.5) > gainAt(0.1));
});
