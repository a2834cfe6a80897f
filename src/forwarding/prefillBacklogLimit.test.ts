import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../decision/index.js";
import { PrefillBacklogLimit } from "./index.js";

const ACCEPTED_MILLISECONDS = 300;
const SHORT_MILLISECONDS = 210;
const TOO_LONG_MILLISECONDS = 360;
const INITIAL_TOKENS = 2_600;

/** Records one gap each 50 ms, as a host with 20 streams does; `isTooLong` selects those that are too long. */
function observe(limit: PrefillBacklogLimit, count: number, isTooLong: (index: number) => boolean, begin = 0): number {
    for (let index = 0; index < count; index += 1) {
        const longestGapMilliseconds = isTooLong(index) ? TOO_LONG_MILLISECONDS : SHORT_MILLISECONDS;
        limit.record({ longestGapMilliseconds, acceptedGapMilliseconds: ACCEPTED_MILLISECONDS }, begin + index * 50);
    }
    return begin + count * 50;
}

test("the limit more than triples within three seconds where no gap is too long", () => {
    const limit = new PrefillBacklogLimit();
    observe(limit, 60, () => false);
    assert.ok(limit.tokens > 3 * INITIAL_TOKENS, `${limit.tokens} tokens`);
});

test("once gaps are often too long, the limit returns to its value before quick growth, and stays near it", () => {
    const random = createSeededRandom(5);
    const limit = new PrefillBacklogLimit();
    const grownAt = observe(limit, 20, () => false);
    assert.ok(limit.tokens > 4_000);
    const loweredAt = observe(limit, 6, () => true, grownAt);
    assert.ok(limit.tokens <= INITIAL_TOKENS, `${limit.tokens} tokens`);
    observe(limit, 500, () => random() < 0.02, loweredAt);
    assert.ok(limit.tokens > INITIAL_TOKENS / 1.5 && limit.tokens < INITIAL_TOKENS * 1.5, `${limit.tokens} tokens`);
});

test("single gaps that are too long do not end quick growth", () => {
    const limit = new PrefillBacklogLimit();
    observe(limit, 120, index => index % 40 === 20);
    assert.ok(limit.tokens > 3 * INITIAL_TOKENS, `${limit.tokens} tokens`);
});

test("quick growth is retried at increasing intervals where it causes excessive gaps each time", () => {
    const limit = new PrefillBacklogLimit();
    let quickGrowths = 0;
    let before = limit.tokens;
    let now = 0;
    for (let index = 0; index < 20 * 600; index += 1) {
        const isTooLong = limit.tokens > INITIAL_TOKENS * 1.3;
        now = observe(limit, 1, () => isTooLong, now);
        quickGrowths += limit.tokens > before * 1.02 && before <= INITIAL_TOKENS * 1.1 ? 1 : 0;
        before = limit.tokens;
    }
    assert.ok(quickGrowths <= 30, `grew quickly at ${quickGrowths} observations in ten minutes`);
    assert.ok(limit.tokens < INITIAL_TOKENS * 1.6);
});

test("a gap of several times the accepted one is ignored", () => {
    const limit = new PrefillBacklogLimit();
    for (let index = 0; index < 50; index += 1) {
        limit.record({ longestGapMilliseconds: 1_300, acceptedGapMilliseconds: ACCEPTED_MILLISECONDS }, index * 500);
    }
    assert.equal(limit.tokens, INITIAL_TOKENS);
});
