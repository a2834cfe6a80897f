/**
 * Measures placement policies with this project's requests policy and prints tables: `node dist/measurements/placement.js`.
 *
 * @module
 */
import { createRequestsDecision } from "../src/requests/index.js";
import { HostsRun } from "./policy/hostsRun.js";
import {
    createResidencyPlan,
    PlacementRun,
    planLeastRecentlyUsed,
    type PlanMoves,
    planNoMoves,
} from "./policy/placements.js";
import { CACHE_TOKENS, NETWORK, SEEDS } from "./policy/settings.js";
import {
    describeDeployment,
    drawArrivals,
    listHosts,
    placeStatically,
    type Shape,
    SHIFTING_SHAPES,
} from "./policy/shapes.js";
import { formatSpread, type RunFigures, summarize } from "./policy/summary.js";

const DRAIN_MILLISECONDS = 30_000;

interface PlacementPolicy {
    readonly name: string;
    readonly plan: PlanMoves;
}

interface PlacementFigures extends RunFigures {
    readonly moves: number;
}

const POLICIES: readonly PlacementPolicy[] = [
    { name: "static", plan: planNoMoves },
    { name: "least recently used", plan: planLeastRecentlyUsed },
    { name: "ours, attainment 0.8, moves 0.2", plan: createResidencyPlan({ attainmentWeight: 0.8, moveWeight: 0.2 }) },
    { name: "ours, attainment 0.2, moves 0.8", plan: createResidencyPlan({ attainmentWeight: 0.2, moveWeight: 0.8 }) },
];

function measure(shape: Shape, plan: PlanMoves, seed: number): PlacementFigures {
    const deployment = describeDeployment(shape);
    const run = new HostsRun({
        seed,
        hosts: listHosts(shape),
        deployment,
        placement: placeStatically(shape),
        cacheTokens: CACHE_TOKENS,
        network: NETWORK,
        arrivals: drawArrivals(shape, seed),
        createDecision: (host, random) => createRequestsDecision({ host, random }),
        endMilliseconds: shape.durationMilliseconds + DRAIN_MILLISECONDS,
    });
    const placement = new PlacementRun(run, deployment, plan);
    run.run();
    return { ...summarize(run, deployment), moves: placement.moves };
}

function printShape(shape: Shape): void {
    const accelerators = shape.pools.reduce((sum, pool) => sum + pool.engines, 0);
    console.log(`\n### ${shape.name}, ${SEEDS.length} seeds\n`);
    console.log(
        "| placement | attainment per accelerator, % | attainment, % | urgent, % | refused, % | attempts per request | moves |",
    );
    console.log("|---|---|---|---|---|---|---|");
    for (const { name, plan } of POLICIES) {
        const figures = SEEDS.map(seed => measure(shape, plan, seed));
        const cells = [
            name,
            formatSpread(figures.map(each => each.attainment / accelerators), 100, 2),
            formatSpread(figures.map(each => each.attainment), 100, 1),
            formatSpread(figures.map(each => each.urgentAttainment), 100, 1),
            formatSpread(figures.map(each => each.refused), 100, 1),
            formatSpread(figures.map(each => each.attempts), 1, 3),
            formatSpread(figures.map(each => each.moves), 1, 1),
        ];
        console.log(`| ${cells.join(" | ")} |`);
    }
}

for (const shape of SHIFTING_SHAPES) {
    printShape(shape);
}
