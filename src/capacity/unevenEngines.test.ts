/**
 * The choice of engines with and without the figures that they report, side by side in virtual time.
 *
 * @module
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type EngineModelOptions, type EngineModelResult, simulateEngines } from "../../tests/support/engineModel.js";

const SIZES = [
    { name: "short", promptTokens: 383, outputTokens: 120, share: 0.5 },
    { name: "long", promptTokens: 715, outputTokens: 280, share: 0.4 },
    { name: "longest", promptTokens: 2_300, outputTokens: 280, share: 0.1 },
];

const ENGINES = {
    batches: true,
    slots: 12,
    memoryTokens: 34_900,
    sizes: SIZES,
    targetMilliseconds: 252,
};

/** One cell of hosts; a mean load of about 60 % of all slots. */
const SMALL_FLEET = { ...ENGINES, hosts: 8, engines: 12, requestsPerSecond: 60, requests: 4_000 };

/** Seven cells of hosts, which hear of each other's requests late; a mean load of about 60 % of all slots. */
const LARGE_FLEET = { ...ENGINES, hosts: 73, engines: 78, requestsPerSecond: 360, requests: 4_000 };

/** A plain service: upstreams that read no prompts, at about 65 % of their slots. */
const PLAIN_SERVICE = {
    ...ENGINES,
    hosts: 8,
    engines: 4,
    slots: 6,
    batches: false,
    requestsPerSecond: 26,
    requests: 2_500,
    sizes: [{ name: "plain", promptTokens: 0, outputTokens: 60, share: 1 }],
    targetMilliseconds: 150,
};

/** Prompts of which twelve exceed an engine's memory; nearly all memory is in use. */
const LONG_PROMPTS = {
    ...SMALL_FLEET,
    requestsPerSecond: 40,
    sizes: [
        { name: "short", promptTokens: 383, outputTokens: 120, share: 0.3 },
        { name: "long", promptTokens: 1_500, outputTokens: 280, share: 0.3 },
        { name: "longest", promptTokens: 4_500, outputTokens: 280, share: 0.4 },
    ],
};

/** The same in several cells, where engines that all hosts choose at once run out of memory. */
const LONG_PROMPTS_OF_CELLS = {
    ...LARGE_FLEET,
    requestsPerSecond: 300,
    sizes: [
        { name: "short", promptTokens: 383, outputTokens: 120, share: 0.5 },
        { name: "long", promptTokens: 1_500, outputTokens: 280, share: 0.3 },
        { name: "longest", promptTokens: 4_500, outputTokens: 280, share: 0.2 },
    ],
};

type Load = Omit<EngineModelOptions, "seed" | "usesFigures">;

function meanOf(results: readonly EngineModelResult[], figure: (result: EngineModelResult) => number): number {
    return results.reduce((sum, result) => sum + figure(result), 0) / results.length;
}

function summarize(results: readonly EngineModelResult[]) {
    const names = Object.keys(results[0]?.attainment ?? {});
    return {
        attainment: Object.fromEntries(names.map(name => [name, meanOf(results, each => each.attainment[name] ?? 0)])),
        p99: meanOf(results, ({ p99Milliseconds }) => p99Milliseconds),
        completion: meanOf(results, ({ meanCompletionMilliseconds }) => meanCompletionMilliseconds),
        busiest: meanOf(results, ({ busiest }) => busiest),
        crossZone: meanOf(results, ({ crossZone }) => crossZone),
        preemptions: meanOf(results, ({ preemptions }) => preemptions),
    };
}

function compare(load: Load, seeds: number) {
    const run = (usesFigures: boolean) =>
        summarize(
            Array.from({ length: seeds }, (_, seed) => simulateEngines({ ...load, seed: seed + 1, usesFigures })),
        );
    const result = { without: run(false), figures: run(true) };
    return { ...result, seen: JSON.stringify(result) };
}

test("one cell: slow engines do not make short or long prompts late, and zones keep their requests", () => {
    const { figures, seen, without } = compare(SMALL_FLEET, 6);
    for (const { name } of SIZES) {
        assert.ok((figures.attainment[name] ?? 0) > (without.attainment[name] ?? 1), `${name}: ${seen}`);
    }
    assert.ok(figures.p99 < without.p99 && figures.completion < without.completion, seen);
    assert.ok(figures.crossZone < 0.2, seen);
});

test("several cells: hosts with the same old news do not send to the same engines at once", () => {
    const { figures, seen, without } = compare(LARGE_FLEET, 1);
    for (const { name } of SIZES) {
        assert.ok((figures.attainment[name] ?? 0) > (without.attainment[name] ?? 1) + 0.1, `${name}: ${seen}`);
    }
    assert.ok(figures.p99 < without.p99 / 2 && figures.busiest < without.busiest, seen);
    assert.ok(figures.crossZone < without.crossZone, seen);
});

test("plain services with few upstreams are served no later, and with less use of other zones", () => {
    const { figures, seen, without } = compare(PLAIN_SERVICE, 6);
    assert.ok((figures.attainment["plain"] ?? 0) >= (without.attainment["plain"] ?? 1), seen);
    assert.ok(figures.crossZone < without.crossZone / 2, seen);
});

test("prompts that fill engines' memory are preempted less often, and short ones beside them are on time", () => {
    const { figures, seen, without } = compare(LONG_PROMPTS, 4);
    assert.ok(figures.preemptions < without.preemptions, seen);
    assert.ok((figures.attainment["short"] ?? 0) > (without.attainment["short"] ?? 1) + 0.02, seen);
    assert.ok((figures.attainment["longest"] ?? 0) > (without.attainment["longest"] ?? 1), seen);
});

test("several cells: requests are not preempted for want of memory at engines that all hosts chose at once", () => {
    const { figures, seen, without } = compare(LONG_PROMPTS_OF_CELLS, 1);
    assert.ok(without.preemptions > 10 && figures.preemptions < without.preemptions / 4, seen);
    assert.ok((figures.attainment["short"] ?? 0) > 2 * (without.attainment["short"] ?? 1), seen);
});

test("engines that report false figures, or whose reports stop, cost no more than a few late requests", () => {
    const honest = compare(SMALL_FLEET, 3);
    const reports: Record<string, EngineModelOptions["report"]> = {
        always500: (engine, figure) => engine % 4 === 0 ? "500" : figure,
        always1: (engine, figure) => engine % 4 === 0 ? "1" : figure,
        noNumber: (engine, figure) => engine % 4 === 0 ? "NaN" : figure,
        stops: (_engine, figure, now) => now > 20_000 ? "" : figure,
    };
    for (const [name, report] of Object.entries(reports)) {
        const { figures } = compare({ ...SMALL_FLEET, ...report === undefined ? {} : { report } }, 3);
        const lost = (honest.without.attainment["short"] ?? 1) - (figures.attainment["short"] ?? 0);
        assert.ok(lost < 0.02, `${name}: ${JSON.stringify(figures)} against ${honest.seen}`);
    }
});
