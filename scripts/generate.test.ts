import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { test } from "node:test";

test("the committed validators equal those generated from their schemas", () => {
    const outcome = spawnSync(process.execPath, ["--import", "tsx", "scripts/generate.ts", "--check"], {
        encoding: "utf8",
    });
    assert.equal(outcome.status, 0, outcome.stdout + outcome.stderr);
});
