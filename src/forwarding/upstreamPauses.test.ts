import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { parseRetryAfter, UpstreamPauses } from "./index.js";

const YEAR_SECONDS = 31_536_000;

test("parses a pause in seconds, with fractions", () => {
    assert.deepEqual(parseRetryAfter("2"), { type: "pause", milliseconds: 2_000, isCut: false });
    assert.deepEqual(parseRetryAfter(" 0.25 "), { type: "pause", milliseconds: 250, isCut: false });
    assert.deepEqual(parseRetryAfter("0"), { type: "pause", milliseconds: 0, isCut: false });
});

test("rejects values that are not a number of seconds, and cuts a year to a minute", () => {
    for (const text of ["", "-1", "soon", "Infinity", "NaN", "Fri, 04 Dec 2026 08:00:00 GMT"]) {
        assert.deepEqual(parseRetryAfter(text), { type: "unreadable" }, text);
    }
    assert.deepEqual(parseRetryAfter(String(YEAR_SECONDS)), { type: "pause", milliseconds: 60_000, isCut: true });
});

test("a pause lasts until the latest requested end, in whatever order the requests arrive", () => {
    const report = fc.record({ after: fc.nat(500), pause: fc.nat(5_000) });
    fc.assert(fc.property(fc.array(report, { minLength: 1 }), fc.nat(8_000), (reports, elapsed) => {
        const pauses = new UpstreamPauses();
        let now = 0;
        let pausedUntil = 0;
        for (const { after, pause } of reports) {
            now += after;
            pauses.record("one", pause, now);
            pausedUntil = Math.max(pausedUntil, now + pause);
        }
        assert.equal(pauses.remaining("one", now + elapsed), Math.max(0, pausedUntil - now - elapsed));
        assert.equal(pauses.remaining("two", now), 0);
    }));
});

test("a new incarnation of an upstream is not bound by the pause that the previous one requested", () => {
    const pauses = new UpstreamPauses();
    pauses.record("one", 1_000, 0);
    pauses.forget("one");
    assert.equal(pauses.remaining("one", 1), 0);
});
