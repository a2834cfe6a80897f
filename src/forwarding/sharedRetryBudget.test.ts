import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { SharedRetryBudget } from "./index.js";

const LIMIT = { windowMilliseconds: 10_000, ratio: 0.2, extra: 58 };

interface Step {
    readonly host: number;
    readonly afterMilliseconds: number;
    readonly retries: number;
}

const steps = fc.array(
    fc.record({
        host: fc.integer({ min: 0, max: 8 }),
        afterMilliseconds: fc.integer({ min: 0, max: 400 }),
        retries: fc.integer({ min: 0, max: 12 }),
    }),
    { maxLength: 300 },
);

/** Returns the largest excess of all hosts' retries over the limit, among the windows that end with a retry. */
function worstExcess(requests: readonly number[], retries: readonly number[]): number {
    const excess = retries.map(end => {
        const inWindow = (at: number): boolean => at <= end && at > end - LIMIT.windowMilliseconds;
        return retries.filter(inWindow).length - LIMIT.ratio * requests.filter(inWindow).length - LIMIT.extra;
    });
    return Math.max(0, ...excess);
}

function simulate(hosts: readonly SharedRetryBudget[], sequence: readonly Step[]): number {
    const requests: number[] = [];
    const retries: number[] = [];
    let now = 0;
    for (const step of sequence) {
        now += step.afterMilliseconds;
        const budget = hosts[step.host % hosts.length];
        budget?.recordRequest("orders", now);
        requests.push(now);
        for (let retry = 0; retry < step.retries; retry += 1) {
            if (budget?.tryConsume("orders", now) === true) {
                retries.push(now);
            }
        }
    }
    return worstExcess(requests, retries);
}

test("all hosts together stay within the limit in every window", () => {
    fc.assert(
        fc.property(steps, fc.integer({ min: 3, max: 9 }), (sequence, count) => {
            const hosts = Array.from({ length: count }, () => new SharedRetryBudget(LIMIT));
            hosts.forEach(budget => budget.setHostCount(count));
            assert.equal(simulate(hosts, sequence), 0);
        }),
        { seed: 11 },
    );
});

test("a host that sees fewer hosts than before keeps to its share of the extra", () => {
    const budget = new SharedRetryBudget(LIMIT);
    budget.setHostCount(9);
    budget.setHostCount(1);
    assert.ok(budget.remaining("orders", 0) <= Math.floor(58 / 9));
});

test("each service has its own budget, which is replenished as the window slides", () => {
    const budget = new SharedRetryBudget(LIMIT);
    while (budget.tryConsume("orders", 0)) {
        // Uses the budget up.
    }
    assert.equal(budget.tryConsume("orders", 9_999), false);
    assert.equal(budget.tryConsume("stock", 9_999), true);
    assert.equal(budget.tryConsume("orders", 10_001), true);
});
