/**
 * Many hosts that keep quotas together: the tokens of any 8 s against the bound, and against an exact token bucket.
 *
 * Long runs by hand: `npx tsx measurements/quotas.ts HOSTS SEEDS`.
 *
 * @module
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { playProfile, PROFILES } from "../../tests/support/quotaScenarios.js";

const LEAST_ACCEPTED = 0.95;

for (const profile of PROFILES) {
    for (const [hostCount, seeds] of [[3, [1, 2, 3]], [73, [1, 2]], [300, [1]]] as const) {
        test(`${hostCount} hosts do not exceed quotas in any 8 s, nor refuse what fits, with profile ${profile}`, () => {
            for (const seed of seeds) {
                for (const { accepted, account, worst, worstAtMilliseconds } of playProfile(profile, seed, hostCount)) {
                    const run = `seed ${seed}, ${account} account`;
                    assert.ok(worst <= 1, `${run}: ${worst} of the bound at ${worstAtMilliseconds} ms`);
                    assert.ok((accepted ?? 1) >= LEAST_ACCEPTED, `${run}: ${accepted} of an exact bucket`);
                }
            }
        });
    }
}
