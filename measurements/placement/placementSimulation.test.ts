import assert from "node:assert/strict";
import { test } from "node:test";
import { planBestMove } from "../../src/placement/index.js";
import { createSimulatedSite, planLeastRequested, planNoMoves, simulateDays, SITES } from "./index.js";

const DAYS = 12;

for (const [name, options] of Object.entries(SITES)) {
    test(`${name}: attains more than simple plans and than the same plan without a horizon`, () => {
        const site = createSimulatedSite(options);
        const attainmentOf = (plan: Parameters<typeof simulateDays>[0]["plan"]): number =>
            simulateDays({ site, seeds: DAYS, plan }).attainment;
        const planned = attainmentOf(input => planBestMove(input));
        const withoutHorizon = attainmentOf(input => planBestMove(input, Number.POSITIVE_INFINITY));
        const leastRequested = attainmentOf(planLeastRequested);
        const unmoved = attainmentOf(planNoMoves);
        const figures = { planned, withoutHorizon, leastRequested, unmoved };
        assert.ok(planned > Math.max(withoutHorizon, leastRequested, unmoved), JSON.stringify(figures));
    });
}

test("equal seeds simulate the same days", () => {
    const site = createSimulatedSite(SITES.smallWeights);
    const simulate = (): unknown => simulateDays({ site, seeds: 2, plan: input => planBestMove(input) });
    assert.deepEqual(simulate(), simulate());
});
