import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { formatProblems, parseDeployment, parseSettings } from "./index.js";

function readExample(name: string): string {
    return readFileSync(`examples/${name}`, "utf8");
}

function problemsOf(text: string): string {
    const outcome = parseDeployment(text, { fileName: "text" });
    return outcome.isErr() ? formatProblems(outcome.error) : "accepted";
}

test("both examples are accepted with the expected numbers of engines, models and adapters", () => {
    const sizes = [["sakan", 6, 3, 14, 40], ["arrieta", 8, 3, 15, 80]] as const;
    for (const [name, firstPoolEngines, secondPoolEngines, models, adapters] of sizes) {
        assert.equal(problemsOf(readExample(`${name}.jsonc`)), "accepted");
        const deployment = parseDeployment(readExample(`${name}.jsonc`), { fileName: name }).unwrap();
        assert.deepEqual(deployment.pools.map(pool => pool.engines.length), [firstPoolEngines, secondPoolEngines]);
        assert.deepEqual([deployment.models.length, deployment.adapters.length], [models, adapters]);
    }
    assert.ok(parseSettings(readExample("host.jsonc"), { fileName: "host.jsonc" }).isOk());
});
