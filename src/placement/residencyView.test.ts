import assert from "node:assert/strict";
import { test } from "node:test";
import { type HeldModel } from "../fleet/index.js";
import { type EngineRecord, ResidencyView } from "./index.js";

const FIRST: readonly HeldModel[] = [{ name: "quotes", adapters: ["a1", "a2"] }, { name: "tone", adapters: [] }];

function applyModels(view: ResidencyView, models: readonly HeldModel[], orderCount: number): boolean {
    const record = { engine: "i-1", startedAtMilliseconds: 1, orderCount, models, loading: undefined };
    return view.applyRecord(record, orderCount);
}

test("a record that names the same models and adapters in another order tells nothing new", () => {
    const view = new ResidencyView();
    assert.equal(applyModels(view, FIRST, 1), true);
    const reversed = FIRST.map(({ adapters, name }) => ({ name, adapters: adapters.toReversed() })).toReversed();
    assert.equal(applyModels(view, reversed, 2), false);
    assert.equal(view.recordedAt("i-1"), 2);
    assert.equal(applyModels(view, FIRST, 1), false, "an older record");
    assert.equal(view.recordedAt("i-1"), 2, "an older record");
});

test("a record with other models or adapters is told apart, also where a name is repeated", () => {
    const changes: readonly (readonly HeldModel[])[] = [
        [{ name: "quotes", adapters: ["a1", "a3"] }, { name: "tone", adapters: [] }],
        [{ name: "quotes", adapters: ["a1", "a1"] }, { name: "tone", adapters: [] }],
        [{ name: "quotes", adapters: ["a1", "a2"] }, { name: "quotes", adapters: ["a1", "a2"] }],
        [{ name: "quotes", adapters: ["a1", "a2"] }],
        [],
    ];
    for (const models of changes) {
        const view = new ResidencyView();
        applyModels(view, FIRST, 1);
        assert.equal(applyModels(view, models, 2), true, JSON.stringify(models));
        assert.deepEqual(view.models("i-1"), [...new Set(models.map(({ name }) => name))]);
    }
});

test("a model that an engine was found not to hold is news again once its holder says that it does", () => {
    const view = new ResidencyView();
    applyModels(view, FIRST, 1);
    view.recordAbsent("i-1", "quotes", "a1");
    assert.equal(view.residencyOf("i-1", "quotes", "a1"), "adapter-missing");
    assert.equal(applyModels(view, FIRST, 2), true);
    assert.equal(view.residencyOf("i-1", "quotes", "a1"), "held");
});

test("the changes of a model are counted, and records that say the same again are none", () => {
    const view = new ResidencyView();
    const models = (
        adapters: readonly string[],
    ): readonly HeldModel[] => [{ name: "quotes", adapters: [...adapters] }];
    const record = (orderCount: number, adapters: readonly string[], loading?: string): EngineRecord => ({
        engine: "engine-1",
        startedAtMilliseconds: 1,
        orderCount,
        models: models(adapters),
        loading,
    });
    const counts = (): number[] => ["quotes", "mill", "other"].map(model => view.changesOf(model));
    view.applyRecord(record(1, ["a"]), 0);
    assert.deepEqual(counts(), [1, 0, 0]);
    view.applyRecord(record(2, ["a"]), 1);
    view.applyRecord(record(1, ["b"]), 2);
    assert.deepEqual(counts(), [1, 0, 0]);
    view.applyRecord(record(3, ["b"]), 3);
    assert.deepEqual(counts(), [2, 0, 0]);
    view.applyRecord(record(4, ["b"], "mill"), 4);
    assert.deepEqual(counts(), [2, 1, 0]);
    view.recordAbsent("engine-1", "quotes", "b");
    assert.deepEqual(counts(), [3, 1, 0]);
    view.forget("engine-1");
    assert.deepEqual(counts(), [4, 2, 0]);
    view.forget("engine-1");
    assert.deepEqual(counts(), [4, 2, 0]);
});
