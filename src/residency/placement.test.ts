import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createDeployment } from "../../tests/support/residencyDeployments.js";
import { type Deployment } from "../generated/deployment.js";
import {
    type PlacementCopy,
    type PlacementEngine,
    type PlacementModel,
    planPlacement,
    shareOfWeightStore,
} from "./index.js";

const PROPERTY_SEED = 20261203;

function copy(name: string, megabytes: number, overrides: Partial<PlacementCopy> = {}): PlacementCopy {
    return { name, version: "1", megabytes, state: "proved", clearable: true, isSettling: false, ...overrides };
}

function engine(name: string, freeMegabytes: number, copies: readonly PlacementCopy[] = []): PlacementEngine {
    return {
        engine: name,
        zone: name.slice(0, 1),
        usable: true,
        freeMegabytes,
        copies,
        grants: [],
        modelsWithFailedLoad: new Set(),
    };
}

function model(name: string, megabytes: number, overrides: Partial<PlacementModel> = {}): PlacementModel {
    return { name, version: "1", megabytes, minimumCopies: 1, arrivalsPerSecond: 1, missedPerSecond: 0, ...overrides };
}

function summarize(plan: ReturnType<typeof planPlacement>): string[] {
    return plan.actions.map(({ action, engine: engineName, name, version }) =>
        `${action} ${name} ${version} ${engineName}`
    );
}

test("a chain of moves makes room for a model without a copy where every other model has one copy", () => {
    const engines = [engine("a1", 10, [copy("p", 40), copy("q", 20)]), engine("b1", 20, [copy("r", 50)])];
    const models = [model("p", 40), model("q", 20), model("r", 50), model("new", 30)];
    assert.deepEqual(summarize(planPlacement({ engines, models, adapters: [] })).slice(0, 3), [
        "load q 1 b1",
        "evict q 1 a1",
        "load new 1 a1",
    ]);
});

test("a model that fits nowhere is reported as a problem, and no copy is moved for it", () => {
    const engines = [engine("a1", 5, [copy("p", 45)]), engine("b1", 5, [copy("q", 45)])];
    const plan = planPlacement({ engines, models: [model("p", 45), model("q", 45), model("new", 20)], adapters: [] });
    assert.deepEqual(plan.actions, []);
    assert.match(plan.problems[0]?.reason ?? "", /no engine can make 20 MB free/);
});

test("a new version is loaded before the last old copy is evicted, even in place of a spare copy", () => {
    const before = [engine("a1", 0, [copy("m", 40), copy("p", 10)]), engine("b1", 0, [copy("m", 40), copy("q", 10)])];
    const models = [model("m", 40, { version: "2" }), model("p", 10), model("q", 10)];
    const swap = summarize(planPlacement({ engines: before, models, adapters: [] }));
    assert.equal(swap.length, 2);
    assert.match(swap.join(), /^evict m 1 (..),load m 2 \1$/);
    const single = [engine("a1", 0, [copy("m", 40)])];
    assert.deepEqual(
        planPlacement({ engines: single, models: [model("m", 40, { version: "2" })], adapters: [] }).actions,
        [],
    );
    const both = [engine("a1", 0, [copy("m", 40), copy("m", 40, { version: "2" })])];
    assert.deepEqual(
        summarize(planPlacement({ engines: both, models: [model("m", 40, { version: "2" })], adapters: [] })),
        [
            "evict m 1 a1",
        ],
    );
});

test("with memory for three copies, every model survives the loss of any two engines", () => {
    const engines = ["a1", "a2", "b1", "b2", "c1"].map(name => engine(name, 100));
    const models = Array.from({ length: 9 }, (_, index) => model(`m${index}`, 10 + index));
    const loads = planPlacement({ engines, models, adapters: [] }).actions.filter(({ action }) => action === "load");
    for (const { name } of models) {
        const hosts = new Set(loads.filter(load => load.name === name).map(load => load.engine));
        assert.ok(hosts.size >= 3, `${name} is on ${[...hosts].join()}`);
        assert.ok(new Set([...hosts].map(host => host[0])).size >= 2);
    }
});

test("a spare copy is exchanged only for a clearly more valuable one, depending on the weights", () => {
    const all = ["idle", "busy", "other"].map(name => copy(name, 20));
    const engines = [
        engine("a1", 0, all),
        engine("b1", 0, all),
        engine("c1", 0, all),
        engine("d1", 0, [copy("idle", 20)]),
    ];
    const planFor = (missedPerSecond: number, attainmentWeight: number, moveWeight: number, idle = 0): string[] => {
        const models = [
            model("idle", 20, { missedPerSecond: idle }),
            model("busy", 20, { missedPerSecond }),
            model("other", 20),
        ];
        return summarize(planPlacement({ engines, models, adapters: [] }, { attainmentWeight, moveWeight }));
    };
    assert.deepEqual(planFor(0, 0.8, 0.2), []);
    assert.deepEqual(planFor(2, 0.8, 0.2), ["evict idle 1 d1", "load busy 1 d1"]);
    assert.deepEqual(planFor(0.5, 0.8, 0.2, 0.4), []);
    assert.equal(planFor(1, 0.8, 0.2, 0.4).length, 2);
    const missed = [0.01, 0.03, 0.1, 0.3, 1];
    const moves = (attainmentWeight: number, moveWeight: number): number =>
        missed.filter(rate => planFor(rate, attainmentWeight, moveWeight).length > 0).length;
    assert.ok(moves(0.8, 0.2) > moves(0.2, 0.8));
});

test("a plan never overcommits an engine and never evicts a model's only copy without a replacement", () => {
    const sizes = fastCheck.array(fastCheck.integer({ min: 5, max: 60 }), { minLength: 1, maxLength: 12 });
    const placed = fastCheck.array(fastCheck.tuple(fastCheck.nat(11), fastCheck.nat(3)), { maxLength: 14 });
    fastCheck.assert(
        fastCheck.property(sizes, placed, fastCheck.array(fastCheck.nat(3)), (megabytes, pairs, missed) => {
            const models = megabytes.map((size, index) =>
                model(`m${index}`, size, { missedPerSecond: missed[index] ?? 0 })
            );
            const engines = ["a1", "a2", "b1", "b2"].map((name, where) => {
                const names = [...new Set(pairs.filter(pair => pair[1] === where).map(([index]) => index))];
                const copies: PlacementCopy[] = [];
                for (const found of names.map(index => models[index]).filter(known => known !== undefined)) {
                    if (copies.reduce((sum, heldCopy) => sum + heldCopy.megabytes, 0) + found.megabytes <= 100) {
                        copies.push(copy(found.name, found.megabytes));
                    }
                }
                return engine(name, 100 - copies.reduce((sum, heldCopy) => sum + heldCopy.megabytes, 0), copies);
            });
            const { actions } = planPlacement({ engines, models, adapters: [] });
            for (const { engine: name, freeMegabytes, copies } of engines) {
                const change = actions.filter(action => action.engine === name).reduce(
                    (sum, action) => sum + (action.action === "load" ? action.megabytes : -action.megabytes),
                    0,
                );
                assert.ok(change <= freeMegabytes);
                for (const heldCopy of copies) {
                    const isEvicted = actions.some(action =>
                        action.action === "evict" && action.engine === name && action.name === heldCopy.name
                    );
                    const remainsElsewhere = engines.some(other => {
                        const evicted = actions.some(action =>
                            action.action === "evict" && action.engine === other.engine && action.name === heldCopy.name
                        );
                        return other.engine !== name && !evicted
                            && other.copies.some(known => known.name === heldCopy.name);
                    });
                    const loaded = actions.some(action => action.action === "load" && action.name === heldCopy.name);
                    assert.ok(!isEvicted || remainsElsewhere || loaded);
                }
            }
        }),
        { seed: PROPERTY_SEED, numRuns: 300 },
    );
});

test("the pools' shares of the weight store never add up to more than its limits", () => {
    const template = createDeployment({ checksFencing: true });
    const pools = fastCheck.array(fastCheck.integer({ min: 1, max: 12 }), { minLength: 1, maxLength: 9 });
    fastCheck.assert(
        fastCheck.property(pools, fastCheck.integer({ min: 1, max: 20 }), (counts, concurrentLoads) => {
            const base = template.pools[0] as Deployment["pools"][number];
            const first = base.engines[0] as (typeof base.engines)[number];
            const deployment: Deployment = {
                ...template,
                weightStore: { loadsPerSecond: 1.4, concurrentLoads, concurrentAdapterLoads: 24 },
                pools: counts.map((count, index) => ({
                    ...base,
                    name: `p${index}`,
                    engines: Array.from({ length: count }, () => first),
                })),
            };
            const shares = deployment.pools.map(pool => shareOfWeightStore(deployment, pool.name));
            const sum = (of: (share: (typeof shares)[number]) => number): number =>
                shares.reduce((total, share) => total + of(share), 0);
            assert.equal(sum(share => share.concurrentLoads), concurrentLoads);
            assert.equal(sum(share => share.concurrentAdapterLoads), 24);
            assert.ok(sum(share => share.loadsPerSecond) < 1.4 + 1e-9);
            assert.ok(concurrentLoads < counts.length || shares.every(share => share.concurrentLoads > 0));
        }),
        { seed: PROPERTY_SEED, numRuns: 200 },
    );
});

test("a copy within the configured minimum is not evicted for a further copy or for another model's minimum", () => {
    const copies = [copy("p", 50), copy("q", 50)];
    const engines = [engine("a1", 0, copies), engine("b1", 0, copies), engine("c1", 0, [copy("r", 100)])];
    const models = [
        model("p", 50, { minimumCopies: 2 }),
        model("q", 50, { minimumCopies: 2 }),
        model("r", 100, { minimumCopies: 2, missedPerSecond: 50 }),
    ];
    const plan = planPlacement({ engines, models, adapters: [] });
    assert.deepEqual(plan.actions, []);
    assert.match(plan.problems[0]?.reason ?? "", /1 of at least 2 copies stand/);
    const withUnplacedModel = [...engines.slice(0, 2), engine("c1", 0, [copy("s", 100)])];
    const planForFirstCopy = planPlacement({
        engines: withUnplacedModel,
        models: [...models, model("s", 100)],
        adapters: [],
    });
    assert.ok(planForFirstCopy.actions.some(({ action, name }) => action === "load" && name === "r"));
});
