import assert from "node:assert/strict";
import { test } from "node:test";
import { type LimitObservation, NamedLimits } from "./namedLimits.js";
import { parseRateLimit } from "./parseRateLimit.js";

const UPSTREAM = { id: "i-1", startedAtMilliseconds: 1_000 };

function observe(
    requestsPerSecond: number | undefined,
    [sentAtMilliseconds, receivedAtMilliseconds]: readonly [number, number],
    upstream: LimitObservation["upstream"] = UPSTREAM,
): LimitObservation {
    return { upstream, requestsPerSecond, sentAtMilliseconds, receivedAtMilliseconds, receivedBy: "entry-1" };
}

test("a rate limit is a decimal number of at least 0", () => {
    assert.deepEqual(parseRateLimit(" 4.1 "), { type: "limit", requestsPerSecond: 4.1 });
    assert.deepEqual(parseRateLimit("0"), { type: "limit", requestsPerSecond: 0 });
    for (const text of ["abc", "-3", "NaN", "", "1e309", "4, 5", "0x10", "Infinity", "4.", "9".repeat(400)]) {
        assert.deepEqual(parseRateLimit(text), { type: "unreadable" }, text);
    }
});

test("an upstream that never named a limit takes no memory", () => {
    const limits = new NamedLimits();
    assert.equal(limits.record(observe(undefined, [0, 10])), undefined);
    assert.deepEqual(limits.all(10), []);
});

test("a lower limit is applied even from an answer that may have been overtaken", () => {
    const limits = new NamedLimits();
    limits.record(observe(8, [0, 100]));
    limits.record(observe(4, [0, 110]));
    assert.equal(limits.inForce("i-1")?.requestsPerSecond, 4);
});

test("a higher limit, or none, is applied only if its request was sent after the last answer arrived", () => {
    const limits = new NamedLimits();
    limits.record(observe(4, [0, 100]));
    assert.equal(limits.record(observe(8, [99, 120])), undefined);
    assert.equal(limits.record(observe(undefined, [50, 130])), undefined);
    assert.equal(limits.inForce("i-1")?.requestsPerSecond, 4);
    assert.equal(limits.record(observe(8, [100, 140]))?.previousRequestsPerSecond, 4);
    const end = limits.record(observe(undefined, [140, 150]));
    assert.deepEqual(end, { upstream: "i-1", requestsPerSecond: undefined, previousRequestsPerSecond: 8 });
    assert.equal(limits.inForce("i-1"), undefined);
});

test("an older report does not bring a withdrawn limit back, and the withdrawal is forgotten later", () => {
    const limits = new NamedLimits();
    limits.record(observe(4, [0, 100]));
    limits.record(observe(undefined, [100, 110]));
    limits.record(observe(4, [20, 90]));
    assert.equal(limits.inForce("i-1"), undefined);
    assert.equal(limits.all(200).length, 1);
    assert.equal(limits.all(60_000).length, 0);
});

test("a new incarnation's answer replaces the limit at once, and an old incarnation's is ignored", () => {
    const limits = new NamedLimits();
    limits.record(observe(4, [0, 100]));
    const next = { id: "i-1", startedAtMilliseconds: 2_000 };
    limits.record(observe(undefined, [50, 120], next));
    assert.equal(limits.inForce("i-1"), undefined);
    limits.record(observe(2, [60, 130]));
    assert.equal(limits.inForce("i-1"), undefined);
});
