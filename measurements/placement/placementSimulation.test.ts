import assert from "node:assert/strict";
import { test } from "node:test";
import { planWeights } from "../../src/placement/index.js";
import { createPlayedSite, planLeastAsked, planNothing, playDays, SITES } from "./index.js";

const DAYS = 12;

for (const [name, options] of Object.entries(SITES)) {
    test(`${name}: more of the requests are answered in time than by simple plans and without a horizon`, () => {
        const site = createPlayedSite(options);
        const attainmentOf = (plan: Parameters<typeof playDays>[0]["plan"]): number =>
            playDays({ site, seeds: DAYS, plan }).attainment;
        const planned = attainmentOf(situation => planWeights(situation));
        const endless = attainmentOf(situation => planWeights(situation, Number.POSITIVE_INFINITY));
        const leastAsked = attainmentOf(planLeastAsked);
        const still = attainmentOf(planNothing);
        const figures = { planned, endless, leastAsked, still };
        assert.ok(planned > Math.max(endless, leastAsked, still), JSON.stringify(figures));
    });
}

test("equal seeds play the same day", () => {
    const site = createPlayedSite(SITES.smallWeights);
    const play = (): unknown => playDays({ site, seeds: 2, plan: situation => planWeights(situation) });
    assert.deepEqual(play(), play());
});
