/**
 * Engines pause for a while, alone and together, beside requests in every state: no answer of theirs may be lost, and no
 * caller may wait for longer than the pause makes it.
 *
 * @module
 */
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { findPauseFaults, type PauseCase, SCOPES } from "./support/pauseCases.js";

const PAUSES_MILLISECONDS = [500, 1_000, 1_300, 1_600, 2_000];

const SEEDS = [1];

/** Sites that run at once. */
const CONCURRENCY = 2;

function describeCase({ pauseMilliseconds, scope, seed }: PauseCase): string {
    return `no answer is lost where ${scope} of the engines pause for ${pauseMilliseconds} ms, with seed ${seed}`;
}

const cases = SEEDS.flatMap(seed =>
    PAUSES_MILLISECONDS.flatMap((pauseMilliseconds, index) =>
        SCOPES.map(scope => ({ scope, pauseMilliseconds, seed, maxAttempts: 2 + index % 2 }))
    )
);

describe("engines that pause answer all their requests", { concurrency: CONCURRENCY }, () => {
    for (const pauseCase of cases) {
        test(describeCase(pauseCase), async () => {
            assert.deepEqual(await findPauseFaults(pauseCase), []);
        });
    }
});
