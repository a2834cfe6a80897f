import assert from "node:assert/strict";
import { test } from "node:test";
import { ListingChanges } from "./listingChanges.js";

test("changes during a listing are merged into what was listed before them, and not into what was listed after", () => {
    const changes = new ListingChanges(40);
    changes.record({ key: "engine/changed", value: "draining", revision: 41 });
    changes.record({ key: "engine/removed", revision: 42 });
    changes.record({ key: "engine/put-again", revision: 43 });
    changes.record({ key: "engine/added", value: "ready", revision: 45 });
    changes.recordRevision(45);
    const merged = changes.mergeInto([
        { key: "engine/changed", value: "ready", revision: 12 },
        { key: "engine/removed", value: "ready", revision: 13 },
        { key: "engine/put-again", value: "ready", revision: 44 },
        { key: "engine/same", value: "ready", revision: 14 },
    ]);
    assert.equal(changes.revision, 45);
    assert.deepEqual(merged.map(({ key, revision, value }) => `${key} ${value} ${revision}`), [
        "engine/changed draining 41",
        "engine/put-again ready 44",
        "engine/same ready 14",
        "engine/added ready 45",
    ]);
});
