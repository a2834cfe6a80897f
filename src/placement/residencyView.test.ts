import assert from "node:assert/strict";
import { test } from "node:test";
import { type HeldModel } from "../fleet/index.js";
import { ResidencyView } from "./index.js";

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
