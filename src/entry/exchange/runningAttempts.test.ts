import assert from "node:assert/strict";
import { test } from "node:test";
import { createAnnouncement } from "../../../tests/support/announcements.js";
import { type Attempt } from "./attempt.js";
import { RunningAttempts } from "./runningAttempts.js";

interface FakeAttempt {
    readonly attempt: Attempt;
    /** What was done to the attempt. */
    readonly steps: readonly string[];
}

function createAttempt(id: string, quietMilliseconds = 0, mayHaveSent = false): FakeAttempt {
    const steps: string[] = [];
    const attempt: Partial<Attempt> = {
        upstream: createAnnouncement([], { id }),
        quietMilliseconds,
        call: { mayHaveSent } as NonNullable<Attempt["call"]>,
        cancel: () => void steps.push("cancel"),
        release: () => void steps.push("release"),
    };
    return { attempt: attempt as Attempt, steps };
}

test("attempts are listed in the order in which they were sent, in a copy", () => {
    const attempts = new RunningAttempts();
    assert.equal(attempts.last, undefined);
    const one = createAttempt("one").attempt;
    const two = createAttempt("two").attempt;
    attempts.add(one);
    const before = attempts.list();
    attempts.add(two);
    assert.deepEqual(before, [one]);
    assert.deepEqual(attempts.list(), [one, two]);
    assert.equal(attempts.last, two);
    assert.equal(attempts.count, 2);
});

test("an attempt that is cancelled or released no longer runs; only the cancelled one ends its call", () => {
    const attempts = new RunningAttempts();
    const one = createAttempt("one");
    const two = createAttempt("two");
    attempts.add(one.attempt);
    attempts.add(two.attempt);
    attempts.cancel(one.attempt);
    attempts.release(two.attempt);
    assert.deepEqual(one.steps, ["cancel"]);
    assert.deepEqual(two.steps, ["release"]);
    assert.ok(!attempts.has(one.attempt) && !attempts.has(two.attempt));
    assert.equal(attempts.count, 0);
});

test("all attempts that run are cancelled together, each once", () => {
    const attempts = new RunningAttempts();
    const fakes = ["one", "two", "three"].map(id => createAttempt(id));
    fakes.forEach(({ attempt }) => attempts.add(attempt));
    attempts.cancelAll();
    attempts.cancelAll();
    assert.deepEqual(fakes.map(({ steps }) => steps), [["cancel"], ["cancel"], ["cancel"]]);
    assert.equal(attempts.count, 0);
});

test("a request is as quiet as its least quiet attempt, and may have been sent where any attempt may have been", () => {
    const attempts = new RunningAttempts();
    attempts.add(createAttempt("one", 900).attempt);
    assert.ok(!attempts.mayHaveSent);
    attempts.add(createAttempt("two", 40, true).attempt);
    assert.equal(attempts.quietMilliseconds, 40);
    assert.ok(attempts.mayHaveSent);
});

test("attempts that have ended count as sent, and the last upstream is that of an attempt that runs if one does", () => {
    const attempts = new RunningAttempts();
    assert.equal(attempts.lastUpstream, undefined);
    const one = createAttempt("one").attempt;
    const two = createAttempt("two").attempt;
    attempts.add(one);
    attempts.add(two);
    assert.equal(attempts.lastUpstream, "two");
    attempts.cancel(two);
    assert.equal(attempts.lastUpstream, "one");
    attempts.cancel(one);
    assert.equal(attempts.lastUpstream, "one");
    assert.equal(attempts.sentCount, 2);
});
