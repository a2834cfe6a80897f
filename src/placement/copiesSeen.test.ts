import assert from "node:assert/strict";
import { test } from "node:test";
import { plannedEngine as engine } from "../../tests/support/placementInputs.js";
import { countCopiesSeen } from "./index.js";

test("copy counts leave out the engine of the move and include copies that are still loading", () => {
    const engines = [
        engine("a", ["rare", "busy"]),
        engine("b", ["busy"]),
        engine("c", [], { loading: "busy" }),
        engine("d", ["new"]),
    ];
    const move = { engine: "a", model: "new", dropped: ["busy", "rare"], reason: "busy-copies", gain: 1 } as const;
    assert.deepEqual(countCopiesSeen(move, engines), { copies: 1, copiesLeft: 0 });
    assert.deepEqual(countCopiesSeen({ ...move, dropped: ["busy"] }, engines), { copies: 1, copiesLeft: 2 });
    assert.deepEqual(countCopiesSeen({ ...move, dropped: [] }, engines), { copies: 1, copiesLeft: undefined });
});
