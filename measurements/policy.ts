/**
 * Measures the requests policy against baselines and prints tables: `node dist/measurements/policy.js`.
 *
 * @module
 */
import { type Decision, type RandomSource } from "../src/decision/index.js";
import {
    type ChooseEngine,
    createRequestsDecision,
    type RequestsEffect,
    type RequestsMessage,
} from "../src/requests/index.js";
import {
    createBaselineDecision,
    createLeastReportedChoice,
    createRandomChoice,
    createRoundRobinChoice,
} from "./policy/baselines.js";
import { HostsRun } from "./policy/hostsRun.js";
import { CACHE_TOKENS, NETWORK, SEEDS } from "./policy/settings.js";
import {
    describeDeployment,
    drawArrivals,
    listHosts,
    LONG_PROMPTS,
    MORNING_RUSH,
    placeStatically,
    type Shape,
    SPORTS_DAY,
} from "./policy/shapes.js";
import { formatSpread, type RunFigures, spreadOf, summarize } from "./policy/summary.js";

interface Policy {
    readonly name: string;
    readonly isOurs: boolean;
    /** True for a router, which forwards each request immediately. */
    readonly isRouter: boolean;
    readonly createDecision: (host: string, random: RandomSource) => Decision<RequestsMessage, RequestsEffect>;
}

/** Chooses an engine with the least estimated load and ignores prefix caches. */
function createChoiceWithoutPrefix(random: RandomSource): ChooseEngine {
    return candidates => {
        const leastLoad = Math.min(...candidates.map(candidate => candidate.load));
        const equal = candidates.filter(candidate => candidate.load === leastLoad);
        return equal[Math.floor(random() * equal.length)]?.engine;
    };
}

const POLICIES: readonly Policy[] = [
    {
        name: "random",
        isOurs: false,
        isRouter: true,
        createDecision: (_, random) => createBaselineDecision(createRandomChoice(random)),
    },
    {
        name: "round robin",
        isOurs: false,
        isRouter: true,
        createDecision: (_, random) => createBaselineDecision(createRoundRobinChoice(random)),
    },
    {
        name: "least reported load",
        isOurs: false,
        isRouter: true,
        createDecision: (_, random) => createBaselineDecision(createLeastReportedChoice(random)),
    },
    {
        name: "ours without prefix preference",
        isOurs: false,
        isRouter: false,
        createDecision: (host, random) =>
            createRequestsDecision({ host, random, chooseEngine: createChoiceWithoutPrefix(random) }),
    },
    {
        name: "ours",
        isOurs: true,
        isRouter: false,
        createDecision: (host, random) => createRequestsDecision({ host, random }),
    },
];

function measure(shape: Shape, policy: Policy, seed: number): RunFigures {
    const deployment = describeDeployment(shape);
    const run = new HostsRun({
        seed,
        hosts: listHosts(shape),
        deployment,
        placement: placeStatically(shape),
        cacheTokens: CACHE_TOKENS,
        network: NETWORK,
        arrivals: drawArrivals(shape, seed),
        createDecision: policy.createDecision,
        endMilliseconds: shape.durationMilliseconds * 2,
    });
    run.run();
    return summarize(run, deployment);
}

function formatRow(policy: Policy, figures: readonly RunFigures[], accelerators: number): string {
    const cells = [
        policy.name,
        formatSpread(figures.map(each => each.attainment / accelerators), 100, 2),
        formatSpread(figures.map(each => each.attainment), 100, 1),
        formatSpread(figures.map(each => each.urgentAttainment), 100, 1),
        formatSpread(figures.map(each => each.patientAttainment), 100, 1),
        formatSpread(figures.map(each => each.refused), 100, 1),
        formatSpread(figures.map(each => each.attempts), 1, 3),
        formatSpread(figures.map(each => each.cachedShare), 100, 1),
    ];
    return `| ${cells.join(" | ")} |`;
}

function printShape(shape: Shape): void {
    const accelerators = shape.pools.reduce((sum, pool) => sum + pool.engines, 0);
    console.log(`\n### ${shape.name}, ${SEEDS.length} seeds\n`);
    console.log(
        "| policy | attainment per accelerator, % | attainment, % | urgent, % | patient, % | refused, % | attempts per request | prompt tokens cached, % |",
    );
    console.log("|---|---|---|---|---|---|---|---|");
    const results = POLICIES.map(policy => ({
        policy,
        figures: SEEDS.map(seed => measure(shape, policy, seed)),
    }));
    for (const { figures, policy } of results) {
        console.log(formatRow(policy, figures, accelerators));
    }
    printGains(results);
}

interface PolicyResult {
    readonly policy: Policy;
    readonly figures: readonly RunFigures[];
}

function meanAttainment({ figures }: PolicyResult): number {
    return spreadOf(figures.map(each => each.attainment)).mean;
}

function printGains(results: readonly PolicyResult[]): void {
    const ours = results.find(({ policy }) => policy.isOurs);
    const baselines = results.filter(({ policy }) => !policy.isOurs);
    const routers = baselines.filter(({ policy }) => policy.isRouter);
    if (ours !== undefined) {
        printGain(ours, baselines, "baseline");
        printGain(ours, routers, "router without admission");
    }
}

/** Compares the policies seed by seed, so that the printed deviation is that of the gain. */
function printGain(ours: PolicyResult, others: readonly PolicyResult[], kind: string): void {
    const best = [...others].sort((left, right) => meanAttainment(right) - meanAttainment(left))[0];
    if (best === undefined) {
        return;
    }
    const gains = ours.figures.map((figures, index) =>
        figures.attainment / (best.figures[index]?.attainment ?? figures.attainment) - 1
    );
    console.log(`\nGain over the best ${kind} (${best.policy.name}): ${formatSpread(gains, 100, 1)} %`);
}

for (const shape of [MORNING_RUSH, SPORTS_DAY, LONG_PROMPTS]) {
    printShape(shape);
}
