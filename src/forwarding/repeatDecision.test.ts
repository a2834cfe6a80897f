import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    type AttemptFailure,
    decideAfterAttempt,
    decideWithoutRetry,
    type FailedAttempt,
    provesNotRun,
} from "./index.js";

const FAILURES: readonly AttemptFailure[] = [
    "not-connected",
    "withdrawn",
    "not-run",
    "misdirected",
    "not-resident",
    "connection-lost",
    "silent",
    "invalid-answer",
    "upstream-error",
    "timed-out",
];

const failedAttempts = fc.record({
    kind: fc.constantFrom("idempotent" as const, "non-idempotent" as const, "event-stream" as const),
    resumable: fc.boolean(),
    failure: fc.constantFrom(...FAILURES),
    earlierAttempts: fc.integer({ min: 0, max: 4 }),
    rejectedSends: fc.integer({ min: 0, max: 6 }),
    maximumAttempts: fc.integer({ min: 1, max: 4 }),
    answerBegun: fc.boolean(),
    isPassedOn: fc.boolean(),
}).map(({ earlierAttempts, ...rest }): FailedAttempt => ({
    ...rest,
    isPassedOn: rest.answerBegun && rest.isPassedOn,
    attemptsThatMayHaveRun: earlierAttempts + (provesNotRun(rest.failure) ? 0 : 1),
}));

test("a request that may be executed once only is not retried once it may have been executed", () => {
    fc.assert(
        fc.property(failedAttempts, failedAttempt => {
            const decision = decideAfterAttempt(failedAttempt);
            const once = failedAttempt.kind === "non-idempotent"
                || (failedAttempt.kind === "event-stream" && !failedAttempt.resumable);
            if (once && !provesNotRun(failedAttempt.failure)) {
                assert.notEqual(decision.type, "repeat");
            }
        }),
        { seed: 3, numRuns: 2_000 },
    );
});

test("refuses as not executed only requests that cannot have been, and aborts an answer that has begun", () => {
    fc.assert(
        fc.property(failedAttempts, failedAttempt => {
            for (const decision of [decideAfterAttempt(failedAttempt), decideWithoutRetry(failedAttempt)]) {
                if (decision.type === "refuse") {
                    assert.equal(failedAttempt.attemptsThatMayHaveRun, 0);
                }
                if (failedAttempt.answerBegun) {
                    assert.ok(decision.type === "repeat" || decision.type === "break-off");
                }
            }
        }),
        { seed: 4, numRuns: 2_000 },
    );
});

test("an answer that no other one can continue is aborted, whatever failed", () => {
    fc.assert(
        fc.property(failedAttempts, failedAttempt => {
            if (failedAttempt.isPassedOn) {
                assert.equal(decideAfterAttempt(failedAttempt).type, "break-off");
            }
        }),
        { seed: 6, numRuns: 2_000 },
    );
});

test("limits the upstreams that may execute a request to the route's maximum, and limits rejected sends", () => {
    fc.assert(
        fc.property(failedAttempts, failedAttempt => {
            if (decideAfterAttempt(failedAttempt).type === "repeat") {
                assert.ok(failedAttempt.attemptsThatMayHaveRun < failedAttempt.maximumAttempts);
                assert.ok(failedAttempt.rejectedSends <= 3);
            }
        }),
        { seed: 5, numRuns: 2_000 },
    );
});

test("a retry after a failed connection does not draw on the budget, every other retry does", () => {
    const base = {
        kind: "non-idempotent",
        resumable: false,
        attemptsThatMayHaveRun: 0,
        rejectedSends: 0,
        maximumAttempts: 1,
        answerBegun: false,
        isPassedOn: false,
    } as const;
    assert.deepEqual(decideAfterAttempt({ ...base, failure: "not-connected" }), {
        type: "repeat",
        drawsOnBudget: false,
    });
    assert.deepEqual(decideAfterAttempt({ ...base, failure: "not-run" }), { type: "repeat", drawsOnBudget: true });
});
