import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type AttemptFailure, type AttemptSituation, decideAfterAttempt, giveUp, provesNotRun } from "./index.js";

const FAILURES: readonly AttemptFailure[] = [
    "not-connected",
    "not-run",
    "misdirected",
    "not-resident",
    "connection-lost",
    "silent",
    "invalid-answer",
    "upstream-error",
    "timed-out",
];

const situations = fc.record({
    kind: fc.constantFrom("idempotent" as const, "non-idempotent" as const, "event-stream" as const),
    resumable: fc.boolean(),
    failure: fc.constantFrom(...FAILURES),
    earlierAttempts: fc.integer({ min: 0, max: 4 }),
    rejectedSends: fc.integer({ min: 0, max: 6 }),
    maximumAttempts: fc.integer({ min: 1, max: 4 }),
    answerBegun: fc.boolean(),
}).map(({ earlierAttempts, ...rest }): AttemptSituation => ({
    ...rest,
    attemptsThatMayHaveRun: earlierAttempts + (provesNotRun(rest.failure) ? 0 : 1),
}));

test("a request that may run once is not sent again once it may have run", () => {
    fc.assert(
        fc.property(situations, situation => {
            const decision = decideAfterAttempt(situation);
            const once = situation.kind === "non-idempotent"
                || (situation.kind === "event-stream" && !situation.resumable);
            if (once && !provesNotRun(situation.failure)) {
                assert.notEqual(decision.type, "repeat");
            }
        }),
        { seed: 3, numRuns: 2_000 },
    );
});

test("only a request that cannot have run is refused as not run, and an answer that has begun is broken off", () => {
    fc.assert(
        fc.property(situations, situation => {
            for (const decision of [decideAfterAttempt(situation), giveUp(situation)]) {
                if (decision.type === "refuse") {
                    assert.equal(situation.attemptsThatMayHaveRun, 0);
                }
                if (situation.answerBegun) {
                    assert.ok(decision.type === "repeat" || decision.type === "break-off");
                }
            }
        }),
        { seed: 4, numRuns: 2_000 },
    );
});

test("no request runs on more upstreams than its route allows, and rejections do not go on for ever", () => {
    fc.assert(
        fc.property(situations, situation => {
            if (decideAfterAttempt(situation).type === "repeat") {
                assert.ok(situation.attemptsThatMayHaveRun < situation.maximumAttempts);
                assert.ok(situation.rejectedSends <= 3);
            }
        }),
        { seed: 5, numRuns: 2_000 },
    );
});

test("a connection that never stood costs nothing of the budget, every other repeat does", () => {
    const base = {
        kind: "non-idempotent",
        resumable: false,
        attemptsThatMayHaveRun: 0,
        rejectedSends: 0,
        maximumAttempts: 1,
        answerBegun: false,
    } as const;
    assert.deepEqual(decideAfterAttempt({ ...base, failure: "not-connected" }), {
        type: "repeat",
        drawsOnBudget: false,
    });
    assert.deepEqual(decideAfterAttempt({ ...base, failure: "not-run" }), { type: "repeat", drawsOnBudget: true });
});
