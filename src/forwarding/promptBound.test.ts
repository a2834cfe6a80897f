import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../decision/index.js";
import { PromptBound } from "./index.js";

const ACCEPTED_MILLISECONDS = 300;
const SHORT_MILLISECONDS = 210;
const TOO_LONG_MILLISECONDS = 360;
const FIRST_TOKENS = 2_600;

/** Observes one pause each 50 ms, as a host with 20 streams does; `isTooLong` tells which. */
function observe(bound: PromptBound, count: number, isTooLong: (index: number) => boolean, begin = 0): number {
    for (let index = 0; index < count; index += 1) {
        const longestPauseMilliseconds = isTooLong(index) ? TOO_LONG_MILLISECONDS : SHORT_MILLISECONDS;
        bound.note({ longestPauseMilliseconds, acceptedPauseMilliseconds: ACCEPTED_MILLISECONDS }, begin + index * 50);
    }
    return begin + count * 50;
}

test("engines that never pause for too long are sent three times as many prompts within three seconds", () => {
    const bound = new PromptBound();
    observe(bound, 60, () => false);
    assert.ok(bound.tokens > 3 * FIRST_TOKENS, `${bound.tokens} tokens`);
});

test("once pauses are often too long, the bound is back where its quick growth began, and stays near it", () => {
    const random = createSeededRandom(5);
    const bound = new PromptBound();
    const grown = observe(bound, 20, () => false);
    assert.ok(bound.tokens > 4_000);
    const fallen = observe(bound, 6, () => true, grown);
    assert.ok(bound.tokens <= FIRST_TOKENS, `${bound.tokens} tokens`);
    observe(bound, 500, () => random() < 0.02, fallen);
    assert.ok(bound.tokens > FIRST_TOKENS / 1.5 && bound.tokens < FIRST_TOKENS * 1.5, `${bound.tokens} tokens`);
});

test("single pauses that are too long do not end quick growth", () => {
    const bound = new PromptBound();
    observe(bound, 120, index => index % 40 === 20);
    assert.ok(bound.tokens > 3 * FIRST_TOKENS, `${bound.tokens} tokens`);
});

test("the bound tries to grow quickly again less and less often where that ends in long pauses each time", () => {
    const bound = new PromptBound();
    let tries = 0;
    let before = bound.tokens;
    let now = 0;
    for (let index = 0; index < 20 * 600; index += 1) {
        const isTooLong = bound.tokens > FIRST_TOKENS * 1.3;
        now = observe(bound, 1, () => isTooLong, now);
        tries += bound.tokens > before * 1.02 && before <= FIRST_TOKENS * 1.1 ? 1 : 0;
        before = bound.tokens;
    }
    assert.ok(tries <= 30, `grew quickly at ${tries} observations in ten minutes`);
    assert.ok(bound.tokens < FIRST_TOKENS * 1.6);
});

test("a pause of several times what callers accept tells nothing", () => {
    const bound = new PromptBound();
    for (let index = 0; index < 50; index += 1) {
        bound.note({ longestPauseMilliseconds: 1_300, acceptedPauseMilliseconds: ACCEPTED_MILLISECONDS }, index * 500);
    }
    assert.equal(bound.tokens, FIRST_TOKENS);
});
