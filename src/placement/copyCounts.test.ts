import assert from "node:assert/strict";
import { test } from "node:test";
import { createPlannedEngine as engine } from "../../tests/support/placementInputs.js";
import { countCopies } from "./index.js";

test("copy counts leave out the engine of the move and include copies that are still loading", () => {
    const engines = [
        engine("a", ["rare", "busy"]),
        engine("b", ["busy"]),
        engine("c", [], { loading: "busy" }),
        engine("d", ["new"]),
    ];
    const move = { engine: "a", model: "new", dropped: ["busy", "rare"], reason: "busy-copies", gain: 1 } as const;
    assert.deepEqual(countCopies(move, engines), { copies: 1, copiesLeft: 0 });
    assert.deepEqual(countCopies({ ...move, dropped: ["busy"] }, engines), { copies: 1, copiesLeft: 2 });
    assert.deepEqual(countCopies({ ...move, dropped: [] }, engines), { copies: 1, copiesLeft: undefined });
});
