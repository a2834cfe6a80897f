import assert from "node:assert/strict";
import { test } from "node:test";
import { Fleet } from "./_testFleet.js";
import { createText, missingModels, wantAdapters } from "./_testTexts.js";

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
