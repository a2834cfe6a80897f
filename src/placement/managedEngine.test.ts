import assert from "node:assert/strict";
import { test } from "node:test";
import { createAnnouncement } from "../../tests/support/announcements.js";
import { type EngineDefinition } from "../routes/index.js";
import {
    type AdapterUseView,
    type EngineOrder,
    ManagedEngine,
    type OrderOutcome,
    type PlacementMove,
} from "./index.js";

const DEFINITION: EngineDefinition = {
    slots: 64,
    cacheTokens: 100_000,
    weightMegabytes: 130,
    adapterSlots: 2,
    loadsPerSecond: 1,
    models: ["hot", "warm", "cold", "new", "other"].map(name => ({
        name,
        weightMegabytes: 32,
        adapterCount: 3,
        adapterMegabytes: 1,
        storeLoadMilliseconds: 1_000,
    })),
};

const NO_USE: AdapterUseView = { isAdapterUsed: () => false };

function keep(models: readonly string[], orderCount = 0, use = NO_USE): ManagedEngine {
    const keeper = new ManagedEngine(createAnnouncement(models), DEFINITION, use);
    keeper.recordReport({ orderCount, busy: false, models: models.map(name => ({ name, adapters: [] })) }, 0);
    return keeper;
}

/** Sends the next order and gives it the outcome. */
function carryOut(keeper: ManagedEngine, now: number, outcome: OrderOutcome): EngineOrder {
    const step = keeper.nextStep(now);
    assert.ok(step?.type === "order", `an order at ${now}`);
    keeper.recordOrderSent(step.order, now);
    keeper.recordOrderOutcome(step.order, outcome, now);
    return step.order;
}

test("a holder reads the engine's report before its first order; an announcement's number is no order count", () => {
    const keeper = new ManagedEngine(createAnnouncement(["hot"]), DEFINITION, NO_USE);
    keeper.requestAdapter("hot", "a1", 0);
    assert.deepEqual(keeper.nextStep(0), { type: "read-report" });
    keeper.recordReport({ orderCount: 7, busy: false, models: [{ name: "hot", adapters: [] }] }, 0);
    assert.equal(carryOut(keeper, 0, "accepted").expectedOrderCount, 7);
});

test("an engine that carries out an order of an earlier holder gets none until its report says that it is done", () => {
    const keeper = new ManagedEngine(createAnnouncement(["hot"]), DEFINITION, NO_USE);
    keeper.recordReportRequested();
    keeper.recordReport({ orderCount: 7, busy: true, models: [{ name: "hot", adapters: [] }] }, 0);
    const move = { engine: "engine", model: "warm", dropped: [], reason: "no-copy", gain: 1 } as const;
    assert.equal(keeper.begin(move, 10), false);
    keeper.requestAdapter("hot", "a1", 10);
    assert.equal(keeper.nextStep(10), undefined);
    assert.deepEqual(keeper.nextStep(1_000), { type: "read-report" });
    keeper.recordReport({
        orderCount: 7,
        busy: false,
        models: [{ name: "hot", adapters: [] }, { name: "warm", adapters: [] }],
    }, 1_000);
    assert.equal(keeper.begin(move, 1_000), true);
    assert.equal(carryOut(keeper, 1_000, "accepted").expectedOrderCount, 7);
});

test("an order without an answer is sent again under the same order count, so that it takes effect once", () => {
    const keeper = keep(["hot"], 4);
    keeper.requestAdapter("hot", "a1", 0);
    const first = carryOut(keeper, 0, "unknown");
    const again = carryOut(keeper, 400, "accepted");
    assert.deepEqual(again, first);
    assert.equal(keeper.record().orderCount, 5);
});

test("after a conflict the report is read, once it cannot lag behind the order any more", () => {
    const keeper = keep(["hot"], 4);
    keeper.requestAdapter("hot", "a1", 0);
    carryOut(keeper, 0, "conflict");
    assert.equal(keeper.nextStep(200), undefined);
    assert.deepEqual(keeper.nextStep(600), { type: "read-report" });
    keeper.recordReport({ orderCount: 5, busy: false, models: [{ name: "hot", adapters: ["a1"] }] }, 600);
    assert.deepEqual(keeper.record().models, [{ name: "hot", adapters: ["a1"] }]);
    assert.equal(keeper.nextStep(601), undefined, "the wish has come true");
});

test("an adapter counts as held once it has had time to load, and adapters never exceed their slots", () => {
    const keeper = keep(["hot"]);
    keeper.requestAdapter("hot", "a1", 0);
    keeper.requestAdapter("hot", "a2", 0);
    keeper.requestAdapter("hot", "a3", 0);
    carryOut(keeper, 0, "accepted");
    carryOut(keeper, 0, "accepted");
    assert.deepEqual(keeper.record().models, [{ name: "hot", adapters: [] }]);
    assert.equal(keeper.nextStep(50), undefined, "both adapters are in use");
    assert.deepEqual(keeper.record().models, [{ name: "hot", adapters: ["a1", "a2"] }]);
    keeper.recordAdapterUse("hot", "a2", 700);
    keeper.requestAdapter("hot", "a3", 700);
    const dropped = carryOut(keeper, 700, "holds");
    assert.deepEqual([dropped.operation, dropped.adapter], ["unload", "a1"]);
    assert.deepEqual(carryOut(keeper, 700, "accepted").adapter, "a3");
});

function move(model: string, dropped: readonly string[] = []): PlacementMove {
    return { engine: "engine", model, dropped, reason: "no-copy", gain: 1 };
}

test("weights that are loading take the engine's only order, and count from the announcement on", () => {
    const keeper = keep(["hot"]);
    assert.ok(keeper.begin(move("warm"), 0));
    carryOut(keeper, 0, "accepted");
    keeper.requestAdapter("hot", "a1", 10);
    assert.equal(keeper.nextStep(10), undefined);
    assert.equal(keeper.record().loading, "warm");
    assert.equal(keeper.storeLoadsSince(0), 1);
    keeper.observe(createAnnouncement(["hot", "warm"], { announcementNumber: 901 }));
    assert.equal(keeper.record().loading, undefined);
    assert.equal(keeper.nextStep(11)?.type, "order");
});

test("a move drops its models one after the other, each once the engine has, and then loads", () => {
    const keeper = keep(["hot", "warm", "cold"]);
    assert.ok(keeper.begin(move("new", ["warm", "cold"]), 0));
    assert.equal(keeper.record().loading, "new", "others see at once what the engine will hold");
    assert.equal(carryOut(keeper, 0, "accepted").model, "warm");
    keeper.observe(createAnnouncement(["hot", "warm", "cold"], { announcementNumber: 901 }));
    assert.deepEqual(keeper.record().models.map(({ name }) => name), ["hot", "cold"], "it takes no requests any more");
    assert.equal(keeper.nextStep(100), undefined, "its requests have not ended");
    assert.equal(keeper.begin(move("other"), 100), false);
    keeper.observe(createAnnouncement(["hot", "cold"], { announcementNumber: 902 }));
    assert.equal(keeper.nextStep(200), undefined, "the announcement may be older than the model");
    assert.deepEqual(keeper.nextStep(600), { type: "read-report" });
    const held = ["hot", "cold"].map(name => ({ name, adapters: [] }));
    keeper.recordReport({ orderCount: 1, busy: true, models: [...held, { name: "warm", adapters: [] }] }, 600);
    assert.equal(keeper.nextStep(700), undefined, "it is still there");
    assert.deepEqual(keeper.nextStep(1_400), { type: "read-report" });
    keeper.recordReport({ orderCount: 1, busy: false, models: held }, 1_400);
    assert.equal(carryOut(keeper, 1_400, "holds").model, "cold");
    const load = carryOut(keeper, 1_401, "accepted");
    assert.deepEqual([load.operation, load.model], ["load", "new"]);
});

test("a move that requests hold up for too long is given up", () => {
    const keeper = keep(["hot", "warm"]);
    keeper.begin(move("new", ["warm"]), 0);
    carryOut(keeper, 0, "accepted");
    assert.deepEqual(keeper.nextStep(9_000), { type: "read-report" });
    keeper.recordReport({ orderCount: 1, busy: false, models: [{ name: "hot", adapters: [] }] }, 9_000);
    assert.equal(keeper.nextStep(9_000), undefined);
    assert.equal(keeper.record().loading, undefined);
});

test("a restart of the engine under its identifier forgets what it held and counted", () => {
    const keeper = keep(["hot"], 9);
    keeper.observe(createAnnouncement([], { startedAtMilliseconds: 2, announcementNumber: 1 }));
    assert.ok(keeper.begin(move("hot"), 0));
    assert.equal(carryOut(keeper, 0, "accepted").expectedOrderCount, 0);
});

test("an adapter that arrives is a change to tell, whenever the holder looks", () => {
    const keeper = keep(["hot"]);
    keeper.requestAdapter("hot", "a1", 0);
    carryOut(keeper, 0, "accepted");
    keeper.nextStep(11);
    const before = keeper.changeCount;
    assert.deepEqual(keeper.record().models, [{ name: "hot", adapters: [] }]);
    keeper.nextStep(200);
    assert.deepEqual(keeper.record().models, [{ name: "hot", adapters: ["a1"] }]);
    assert.notEqual(keeper.changeCount, before);
});

test("an announcement that was written before a report takes no model away, and so leaves no room for another", () => {
    const keeper = keep(["hot", "warm"], 4);
    keeper.observe(createAnnouncement(["hot"], { announcementNumber: 905 }));
    assert.deepEqual(keeper.record().models.map(({ name }) => name), ["hot", "warm"]);
    keeper.recordModelAbsent("warm", 100);
    assert.deepEqual(keeper.nextStep(100), { type: "read-report" });
    keeper.recordReport({ orderCount: 4, busy: false, models: [{ name: "hot", adapters: [] }] }, 110);
    assert.deepEqual(keeper.record().models.map(({ name }) => name), ["hot"]);
});

test("no load is ordered for which the engine has no room by the holder's own book, whatever was planned", () => {
    const keeper = keep(["hot", "warm", "cold"]);
    assert.ok(keeper.begin(move("new"), 0));
    assert.equal(carryOut(keeper, 0, "accepted").model, "new");
    keeper.observe(createAnnouncement(["hot", "warm", "cold", "new"], { announcementNumber: 901 }));
    assert.ok(keeper.begin(move("other"), 10), "a plan that does not know of the model that has just arrived");
    assert.equal(keeper.nextStep(10), undefined);
    assert.equal(keeper.record().loading, undefined, "the move is given up");
});

test("a report that was written before the last order is read again", () => {
    const keeper = keep(["hot", "warm"], 7);
    assert.ok(keeper.begin(move("new", ["warm"]), 0));
    carryOut(keeper, 0, "accepted");
    const before = { orderCount: 7, busy: false, models: [{ name: "hot", adapters: [] }] };
    assert.deepEqual(keeper.nextStep(300), { type: "read-report" });
    keeper.recordReport(before, 300);
    assert.equal(keeper.nextStep(301), undefined);
    assert.deepEqual(keeper.nextStep(600), { type: "read-report" });
    keeper.recordReport({ ...before, orderCount: 8 }, 600);
    assert.equal(carryOut(keeper, 601, "accepted").expectedOrderCount, 8);
});

test("an adapter makes room once no request uses it, however short ago that was, and never while one does", () => {
    const used = new Set(["hot/a1", "hot/a2"]);
    const keeper = keep(["hot"], 0, { isAdapterUsed: adapter => used.has(adapter) });
    keeper.requestAdapter("hot", "a1", 0);
    keeper.requestAdapter("hot", "a2", 0);
    carryOut(keeper, 0, "accepted");
    carryOut(keeper, 0, "accepted");
    keeper.requestAdapter("hot", "a3", 5_000);
    assert.equal(keeper.nextStep(5_000), undefined, "both run requests, for however long");
    keeper.recordAdapterUse("hot", "a2", 5_000);
    used.delete("hot/a2");
    assert.equal(keeper.nextStep(5_100), undefined, "a request that was told of it may be on its way");
    const dropped = carryOut(keeper, 5_200, "holds");
    assert.deepEqual([dropped.operation, dropped.adapter], ["unload", "a2"]);
});

test("a load that no announcement tells of is found out by a report once its time is over", () => {
    const keeper = keep(["hot"]);
    assert.ok(keeper.begin(move("warm"), 0));
    carryOut(keeper, 0, "accepted");
    assert.equal(keeper.nextStep(900), undefined, "it takes 1,000 ms");
    assert.deepEqual(keeper.nextStep(1_500), { type: "read-report" });
    keeper.recordReport(
        { orderCount: 1, busy: false, models: [...keeper.record().models, { name: "warm", adapters: [] }] },
        1_500,
    );
    assert.deepEqual(keeper.record().models.map(({ name }) => name), ["hot", "warm"]);
});

test("a load of weights at hand, which is faster, is asked after sooner, and again until it is done", () => {
    const keeper = keep(["hot"]);
    keeper.observe(createAnnouncement(["hot"], { localWeights: { inMemory: ["warm"], onDisk: [] } }));
    assert.ok(keeper.begin(move("warm"), 0));
    carryOut(keeper, 0, "accepted");
    assert.deepEqual(keeper.nextStep(800), { type: "read-report" });
    keeper.recordReportRequested();
    keeper.recordReport({ orderCount: 1, busy: true, models: [{ name: "hot", adapters: [] }] }, 800);
    assert.equal(keeper.record().loading, "warm", "it still loads");
    assert.equal(keeper.nextStep(900), undefined);
    assert.deepEqual(keeper.nextStep(1_300), { type: "read-report" });
});

test("a report that an announcement has overtaken takes no model away", () => {
    const keeper = keep(["hot"]);
    assert.ok(keeper.begin(move("warm"), 0));
    carryOut(keeper, 0, "accepted");
    assert.deepEqual(keeper.nextStep(1_500), { type: "read-report" });
    keeper.recordReportRequested();
    keeper.observe(createAnnouncement(["hot", "warm"], { announcementNumber: 901 }));
    keeper.recordReport({ orderCount: 1, busy: true, models: [{ name: "hot", adapters: [] }] }, 1_520);
    assert.deepEqual(keeper.models, ["hot", "warm"]);
    assert.equal(keeper.nextStep(1_600), undefined, "what the engine reports may still lag");
    assert.deepEqual(keeper.nextStep(2_100), { type: "read-report" });
});
