import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../decision/index.js";
import { PrefillThroughput } from "./index.js";

/** First tokens of an engine that reads at a speed, beside steps and other work of up to 60 ms. */
function observe(speed: PrefillThroughput, tokensPerMillisecond: number, count: number, seed = 1): void {
    const random = createSeededRandom(seed);
    for (let index = 0; index < count; index += 1) {
        const unreadTokens = 300 + random() * 4_000;
        speed.record({
            prefillTokens: unreadTokens,
            tookMilliseconds: 20 + random() * 60 + unreadTokens / tokensPerMillisecond,
        });
    }
}

test("the speed is learned from how much later first tokens come behind more prompt tokens", () => {
    for (const tokensPerMillisecond of [5, 14, 38]) {
        const speed = new PrefillThroughput();
        observe(speed, tokensPerMillisecond, 300);
        const learned = speed.tokensPerMillisecond ?? 0;
        assert.ok(Math.abs(learned / tokensPerMillisecond - 1) < 0.25, `${learned} of ${tokensPerMillisecond}`);
    }
});

test("a speed that changes is followed", () => {
    const speed = new PrefillThroughput();
    observe(speed, 38, 300);
    observe(speed, 10, 300, 2);
    const learned = speed.tokensPerMillisecond ?? 0;
    assert.ok(learned > 7 && learned < 14, `${learned}`);
});

test("few first tokens, prompts of one length, and first tokens that waited for other things tell no speed", () => {
    const few = new PrefillThroughput();
    observe(few, 14, 39);
    assert.equal(few.tokensPerMillisecond, undefined);
    const alike = new PrefillThroughput();
    for (let index = 0; index < 100; index += 1) {
        alike.record({ prefillTokens: 1_000, tookMilliseconds: 90 + index });
    }
    assert.equal(alike.tokensPerMillisecond, undefined);
    const waited = new PrefillThroughput();
    observe(waited, 14, 100);
    const before = waited.tokensPerMillisecond;
    waited.record({ prefillTokens: 4_000, tookMilliseconds: 9_000 });
    assert.equal(waited.tokensPerMillisecond, before);
});
