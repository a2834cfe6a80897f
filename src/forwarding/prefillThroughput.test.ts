import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../decision/index.js";
import { PrefillThroughput } from "./index.js";

/** Records first tokens of an engine with the given throughput, and delays of up to 60 ms by steps and other work. */
function observe(throughput: PrefillThroughput, tokensPerMillisecond: number, count: number, seed = 1): void {
    const random = createSeededRandom(seed);
    for (let index = 0; index < count; index += 1) {
        const prefillTokens = 300 + random() * 4_000;
        throughput.record({
            prefillTokens,
            tookMilliseconds: 20 + random() * 60 + prefillTokens / tokensPerMillisecond,
        });
    }
}

test("estimates throughput from the increase of first-token times with the prefilled tokens", () => {
    for (const tokensPerMillisecond of [5, 14, 38]) {
        const throughput = new PrefillThroughput();
        observe(throughput, tokensPerMillisecond, 300);
        const estimate = throughput.tokensPerMillisecond ?? 0;
        assert.ok(Math.abs(estimate / tokensPerMillisecond - 1) < 0.25, `${estimate} of ${tokensPerMillisecond}`);
    }
});

test("the estimate follows a change of throughput", () => {
    const throughput = new PrefillThroughput();
    observe(throughput, 38, 300);
    observe(throughput, 10, 300, 2);
    const estimate = throughput.tokensPerMillisecond ?? 0;
    assert.ok(estimate > 7 && estimate < 14, `${estimate}`);
});

test("too few first tokens, prompts of one length, and first tokens delayed by other causes give no estimate", () => {
    const tooFew = new PrefillThroughput();
    observe(tooFew, 14, 39);
    assert.equal(tooFew.tokensPerMillisecond, undefined);
    const sameLength = new PrefillThroughput();
    for (let index = 0; index < 100; index += 1) {
        sameLength.record({ prefillTokens: 1_000, tookMilliseconds: 90 + index });
    }
    assert.equal(sameLength.tokensPerMillisecond, undefined);
    const delayed = new PrefillThroughput();
    observe(delayed, 14, 100);
    const before = delayed.tokensPerMillisecond;
    delayed.record({ prefillTokens: 4_000, tookMilliseconds: 9_000 });
    assert.equal(delayed.tokensPerMillisecond, before);
});
