import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { parseRetryAfter, UpstreamPauses } from "./index.js";

const YEAR_SECONDS = 31_536_000;

test("a pause is read in seconds, with fractions", () => {
    assert.deepEqual(parseRetryAfter("2"), { type: "pause", milliseconds: 2_000, isCut: false });
    assert.deepEqual(parseRetryAfter(" 0.25 "), { type: "pause", milliseconds: 250, isCut: false });
    assert.deepEqual(parseRetryAfter("0"), { type: "pause", milliseconds: 0, isCut: false });
});

test("values that are no time are told apart, and a year is cut to a minute", () => {
    for (const text of ["", "-1", "soon", "Infinity", "NaN", "Fri, 04 Dec 2026 08:00:00 GMT"]) {
        assert.deepEqual(parseRetryAfter(text), { type: "unreadable" }, text);
    }
    assert.deepEqual(parseRetryAfter(String(YEAR_SECONDS)), { type: "pause", milliseconds: 60_000, isCut: true });
});

test("an upstream rests until the latest time that it asked for, however the words come", () => {
    const word = fc.record({ after: fc.nat(500), pause: fc.nat(5_000) });
    fc.assert(fc.property(fc.array(word, { minLength: 1 }), fc.nat(8_000), (words, look) => {
        const pauses = new UpstreamPauses();
        let now = 0;
        let until = 0;
        for (const { after, pause } of words) {
            now += after;
            pauses.record("one", pause, now);
            until = Math.max(until, now + pause);
        }
        assert.equal(pauses.remaining("one", now + look), Math.max(0, until - now - look));
        assert.equal(pauses.remaining("two", now), 0);
    }));
});

test("a new run of an upstream is not held to what the one before asked", () => {
    const pauses = new UpstreamPauses();
    pauses.record("one", 1_000, 0);
    pauses.forget("one");
    assert.equal(pauses.remaining("one", 1), 0);
});
