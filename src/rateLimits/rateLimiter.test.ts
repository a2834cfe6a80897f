/**
 * Many hosts with a rate limiter each, before one upstream: its requests in any 4 s against what it named.
 *
 * @module
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type FaultAt, type HostFault, LimitFleet, type LimitFleetOptions } from "../../tests/support/limitFleet.js";
import { findWorstWindow, type LimitStep, usedShare } from "../../tests/support/limitRule.js";
import { createSeededRandom, type RandomSource } from "../decision/index.js";

const NAMED_AT_MILLISECONDS = 5_000;
const SETTLED_AT_MILLISECONDS = 8_000;
const END_MILLISECONDS = 25_000;
const LIMIT_PER_SECOND = 4.1;
/** Runs of the random test with a small fleet; the environment variable sets more for a long run by hand. */
const SEEDS = Number(process.env["LIMIT_SEEDS"] ?? 40);

const NAMED: readonly LimitStep[] = [{
    atMilliseconds: NAMED_AT_MILLISECONDS,
    requestsPerSecond: LIMIT_PER_SECOND,
}];

const OVERLOAD: Omit<LimitFleetOptions, "seed" | "hostCount" | "busyHosts"> = {
    steps: NAMED,
    requestsPerSecond: LIMIT_PER_SECOND * 8,
    maximumWaitMilliseconds: 1_000,
    durationMilliseconds: END_MILLISECONDS,
};

/** What came of a fleet's requests. */
interface PlayedFleet {
    /** Share of the limit that was used once it was known. */
    readonly used: number;
    readonly worst: string;
    readonly refused: number;
    readonly waitedInVain: number;
}

/** Runs a fleet, checks the rule and returns the share of the limit that was used once it was known. */
function play(options: LimitFleetOptions): PlayedFleet {
    const { history, refused, waitedInVain } = new LimitFleet(options).run();
    const { allowed, endMilliseconds, requests } = findWorstWindow(history);
    const worst = `${requests} requests in 4 s at ${endMilliseconds} ms, allowed ${allowed.toFixed(1)}`;
    assert.ok(requests <= allowed, `seed ${options.seed}, ${options.hostCount} hosts: ${worst}`);
    const withdrawn = options.steps.find(({ requestsPerSecond }) => requestsPerSecond === undefined);
    const end = withdrawn?.atMilliseconds ?? options.durationMilliseconds;
    return { used: usedShare(history, SETTLED_AT_MILLISECONDS, end), worst, refused, waitedInVain };
}

for (const hostCount of [3, 9, 100]) {
    for (const busyHosts of [1, hostCount]) {
        for (const limit of [LIMIT_PER_SECOND, 20]) {
            test(`${hostCount} hosts keep to a limit of ${limit} a second and use most of it, with callers at ${busyHosts}`, context => {
                const steps = [{ atMilliseconds: NAMED_AT_MILLISECONDS, requestsPerSecond: limit }];
                const requestsPerSecond = limit * 8;
                const { refused, used, waitedInVain, worst } = play({
                    ...OVERLOAD,
                    seed: 1,
                    hostCount,
                    busyHosts,
                    steps,
                    requestsPerSecond,
                });
                context.diagnostic(`${worst}; ${(used * 100).toFixed()} % of the limit used`);
                context.diagnostic(`${waitedInVain} of ${refused} refused requests waited in vain`);
                assert.ok(used >= 0.8, `${used} of the limit was used`);
            });
        }
    }
}

for (const hostCount of [1, 3, 9, 100]) {
    test(`requests that ${hostCount} hosts do not refuse at once get permits`, context => {
        const { refused, waitedInVain } = play({
            ...OVERLOAD,
            seed: 1,
            hostCount,
            busyHosts: hostCount,
            priorities: 1,
        });
        context.diagnostic(`${waitedInVain} of ${refused} refused requests waited in vain`);
        assert.ok(refused > 0);
        assert.equal(waitedInVain, 0);
    });
}

const FAULTS: readonly HostFault[] = [
    { type: "cut", direction: "both" },
    { type: "cut", direction: "inbound" },
    { type: "cut", direction: "outbound" },
    { type: "freeze" },
    { type: "restart" },
    { type: "leave" },
];

function pick<Value>(values: readonly [Value, ...Value[]] | readonly Value[], random: RandomSource): Value {
    const value = values[Math.floor(random() * values.length)];
    assert.ok(value !== undefined);
    return value;
}

/** Draws disturbances of random hosts, which may overlap. */
function drawFaults(hostCount: number, random: RandomSource): FaultAt[] {
    return Array.from({ length: 1 + Math.floor(random() * 5) }, () => {
        const beginMilliseconds = 2_000 + random() * (END_MILLISECONDS - 6_000);
        return {
            host: Math.floor(random() * hostCount),
            fault: pick(FAULTS, random),
            beginMilliseconds,
            endMilliseconds: beginMilliseconds + 500 + random() * 6_000,
        };
    });
}

/** Draws a limit that is named, and then changed a few times; in some runs withdrawn at the end. */
function drawSteps(random: RandomSource): LimitStep[] {
    const rates = [0.7, 2, LIMIT_PER_SECOND, 12];
    const changes = Array.from({ length: Math.floor(random() * 3) }, () => ({
        atMilliseconds: 9_000 + random() * 10_000,
        requestsPerSecond: pick(rates, random),
    }));
    changes.sort((left, right) => left.atMilliseconds - right.atMilliseconds);
    const withdrawn = random() < 0.3 ? [{ atMilliseconds: 21_000, requestsPerSecond: undefined }] : [];
    return [
        { atMilliseconds: NAMED_AT_MILLISECONDS, requestsPerSecond: pick(rates, random) },
        ...changes,
        ...withdrawn,
    ];
}

function drawOptions(seed: number, hostCount: number): LimitFleetOptions {
    const random = createSeededRandom(seed);
    return {
        seed,
        hostCount,
        busyHosts: random() < 0.4 ? 1 + Math.floor(random() * hostCount) : hostCount,
        steps: drawSteps(random),
        requestsPerSecond: 10 + random() * 60,
        maximumWaitMilliseconds: 300 + random() * 2_000,
        durationMilliseconds: END_MILLISECONDS,
        loss: random() < 0.5 ? random() * 0.1 : 0,
        maximumDelayMilliseconds: random() < 0.5 ? 2 : 2 + random() * 400,
        faults: drawFaults(hostCount, random),
        joins: random() < 0.5 ? [{ host: hostCount, atMilliseconds: 6_000 + random() * 10_000 }] : [],
    };
}

for (const [hostCount, seeds] of [[3, SEEDS], [9, SEEDS], [100, Math.ceil(SEEDS / 10)]] as const) {
    test(`${hostCount} hosts keep to changing limits while hosts are cut off, freeze, restart, join and leave`, context => {
        const shares: number[] = [];
        for (let seed = 1; seed <= seeds; seed += 1) {
            shares.push(play(drawOptions(seed, hostCount)).used);
        }
        const mean = shares.reduce((total, share) => total + share, 0) / shares.length;
        context.diagnostic(`${seeds} seeds; ${(mean * 100).toFixed()} % of the limit used on average`);
    });
}
