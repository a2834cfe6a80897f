/**
 * A short soak of the bundled program.
 *
 * @module
 */
import assert from "node:assert/strict";
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { bundleProgram } from "../tests/support/bundledProgram.js";
import { planSoak } from "./plan.js";
import { playSoak, renderOutcome } from "./player.js";

const SEED = 69;
const HOSTS = 3;
const MILLISECONDS = 25_000;

test("a plan follows from its seed", () => {
    assert.deepEqual(planSoak(SEED, MILLISECONDS), planSoak(SEED, MILLISECONDS));
    assert.notDeepEqual(planSoak(SEED, MILLISECONDS), planSoak(SEED + 1, MILLISECONDS));
});

test("hosts as processes keep their promises in a short series of troubles", async context => {
    const bundled = await bundleProgram();
    context.after(() => bundled.close());
    const plan = planSoak(SEED, MILLISECONDS, HOSTS);
    const outcome = await playSoak(plan, bundled.folder, mkdtempSync(join(tmpdir(), "soak-")));
    context.diagnostic(renderOutcome(outcome));
    assert.deepEqual(outcome.violations, [], outcome.folder);
});
