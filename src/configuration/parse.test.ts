import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { formatProblems, parseDeployment, parseSettings } from "./index.js";

function example(name: string): string {
    return readFileSync(`examples/${name}`, "utf8");
}

function refusal(text: string): string {
    const outcome = parseDeployment(text, { fileName: "text" });
    return outcome.isErr() ? formatProblems(outcome.error) : "accepted";
}

test("both examples are accepted with the sizes of the brief", () => {
    const sizes = [["sakan", 6, 3, 14, 40], ["arrieta", 8, 3, 15, 80]] as const;
    for (const [name, first, second, models, adapters] of sizes) {
        assert.equal(refusal(example(`${name}.jsonc`)), "accepted");
        const deployment = parseDeployment(example(`${name}.jsonc`), { fileName: name }).unwrap();
        assert.deepEqual(deployment.pools.map(pool => pool.engines.length), [first, second]);
        assert.deepEqual([deployment.models.length, deployment.adapters.length], [models, adapters]);
    }
    assert.ok(parseSettings(example("host.jsonc"), { fileName: "host.jsonc" }).isOk());
});
