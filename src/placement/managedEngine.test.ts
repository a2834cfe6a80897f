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

function createManagedEngine(models: readonly string[], orderCount = 0, use = NO_USE): ManagedEngine {
    const managedEngine = new ManagedEngine(createAnnouncement(models), DEFINITION, use);
    managedEngine.recordReport({ orderCount, busy: false, models: models.map(name => ({ name, adapters: [] })) }, 0);
    return managedEngine;
}

/** Records the next order as sent and as ended with the outcome; returns the order. */
function sendNextOrder(managedEngine: ManagedEngine, now: number, outcome: OrderOutcome): EngineOrder {
    const step = managedEngine.nextStep(now);
    assert.ok(step?.type === "order", `an order at ${now}`);
    managedEngine.recordOrderSent(step.order, now);
    managedEngine.recordOrderOutcome(step.order, outcome, now);
    return step.order;
}

test("a new holder reads the engine's report before its first order and takes the order count from it", () => {
    const managedEngine = new ManagedEngine(createAnnouncement(["hot"]), DEFINITION, NO_USE);
    managedEngine.requestAdapter("hot", "a1", 0);
    assert.deepEqual(managedEngine.nextStep(0), { type: "read-report" });
    managedEngine.recordReport({ orderCount: 7, busy: false, models: [{ name: "hot", adapters: [] }] }, 0);
    assert.equal(sendNextOrder(managedEngine, 0, "accepted").expectedOrderCount, 7);
});

test("an engine that carries out a previous holder's order gets none until its report shows that it is done", () => {
    const managedEngine = new ManagedEngine(createAnnouncement(["hot"]), DEFINITION, NO_USE);
    managedEngine.recordReportRequested();
    managedEngine.recordReport({ orderCount: 7, busy: true, models: [{ name: "hot", adapters: [] }] }, 0);
    const move = { engine: "engine", model: "warm", dropped: [], reason: "no-copy", gain: 1 } as const;
    assert.equal(managedEngine.beginMove(move, 10), false);
    managedEngine.requestAdapter("hot", "a1", 10);
    assert.equal(managedEngine.nextStep(10), undefined);
    assert.deepEqual(managedEngine.nextStep(1_000), { type: "read-report" });
    managedEngine.recordReport({
        orderCount: 7,
        busy: false,
        models: [{ name: "hot", adapters: [] }, { name: "warm", adapters: [] }],
    }, 1_000);
    assert.equal(managedEngine.beginMove(move, 1_000), true);
    assert.equal(sendNextOrder(managedEngine, 1_000, "accepted").expectedOrderCount, 7);
});

test("an unanswered order is sent again with the same order count, so that it takes effect once", () => {
    const managedEngine = createManagedEngine(["hot"], 4);
    managedEngine.requestAdapter("hot", "a1", 0);
    const first = sendNextOrder(managedEngine, 0, "unknown");
    const again = sendNextOrder(managedEngine, 400, "accepted");
    assert.deepEqual(again, first);
    assert.equal(managedEngine.record().orderCount, 5);
});

test("after a conflict the report is read once its maximum lag has passed", () => {
    const managedEngine = createManagedEngine(["hot"], 4);
    managedEngine.requestAdapter("hot", "a1", 0);
    sendNextOrder(managedEngine, 0, "conflict");
    assert.equal(managedEngine.nextStep(200), undefined);
    assert.deepEqual(managedEngine.nextStep(600), { type: "read-report" });
    managedEngine.recordReport({ orderCount: 5, busy: false, models: [{ name: "hot", adapters: ["a1"] }] }, 600);
    assert.deepEqual(managedEngine.record().models, [{ name: "hot", adapters: ["a1"] }]);
    assert.equal(managedEngine.nextStep(601), undefined, "the requested adapter is held");
});

test("an adapter counts as held once its load time has passed, and adapters never exceed the adapter slots", () => {
    const managedEngine = createManagedEngine(["hot"]);
    managedEngine.requestAdapter("hot", "a1", 0);
    managedEngine.requestAdapter("hot", "a2", 0);
    managedEngine.requestAdapter("hot", "a3", 0);
    sendNextOrder(managedEngine, 0, "accepted");
    sendNextOrder(managedEngine, 0, "accepted");
    assert.deepEqual(managedEngine.record().models, [{ name: "hot", adapters: [] }]);
    assert.equal(managedEngine.nextStep(50), undefined, "both adapters were loaded too recently to be unloaded");
    assert.deepEqual(managedEngine.record().models, [{ name: "hot", adapters: ["a1", "a2"] }]);
    managedEngine.recordAdapterUse("hot", "a2", 700);
    managedEngine.requestAdapter("hot", "a3", 700);
    const dropped = sendNextOrder(managedEngine, 700, "holds");
    assert.deepEqual([dropped.operation, dropped.adapter], ["unload", "a1"]);
    assert.deepEqual(sendNextOrder(managedEngine, 700, "accepted").adapter, "a3");
});

function move(model: string, dropped: readonly string[] = []): PlacementMove {
    return { engine: "engine", model, dropped, reason: "no-copy", gain: 1 };
}

test("a weight load blocks other orders until an announcement lists the model", () => {
    const managedEngine = createManagedEngine(["hot"]);
    assert.ok(managedEngine.beginMove(move("warm"), 0));
    sendNextOrder(managedEngine, 0, "accepted");
    managedEngine.requestAdapter("hot", "a1", 10);
    assert.equal(managedEngine.nextStep(10), undefined);
    assert.equal(managedEngine.record().loading, "warm");
    assert.equal(managedEngine.storeLoadsSince(0), 1);
    managedEngine.applyAnnouncement(createAnnouncement(["hot", "warm"], { announcementNumber: 901 }));
    assert.equal(managedEngine.record().loading, undefined);
    assert.equal(managedEngine.nextStep(11)?.type, "order");
});

test("a move unloads one model after the other, each after the previous unload is confirmed, and then loads", () => {
    const managedEngine = createManagedEngine(["hot", "warm", "cold"]);
    assert.ok(managedEngine.beginMove(move("new", ["warm", "cold"]), 0));
    assert.equal(managedEngine.record().loading, "new", "the record names the model from the start of the move");
    assert.equal(sendNextOrder(managedEngine, 0, "accepted").model, "warm");
    managedEngine.applyAnnouncement(createAnnouncement(["hot", "warm", "cold"], { announcementNumber: 901 }));
    assert.deepEqual(
        managedEngine.record().models.map(({ name }) => name),
        ["hot", "cold"],
        "the record leaves out the unloading model, so that it gets no requests",
    );
    assert.equal(managedEngine.nextStep(100), undefined, "no order before the unload is confirmed");
    assert.equal(managedEngine.beginMove(move("other"), 100), false);
    managedEngine.applyAnnouncement(createAnnouncement(["hot", "cold"], { announcementNumber: 902 }));
    assert.equal(
        managedEngine.nextStep(200),
        undefined,
        "an announcement does not confirm the unload: it may predate the load of the model",
    );
    assert.deepEqual(managedEngine.nextStep(600), { type: "read-report" });
    const held = ["hot", "cold"].map(name => ({ name, adapters: [] }));
    managedEngine.recordReport({ orderCount: 1, busy: true, models: [...held, { name: "warm", adapters: [] }] }, 600);
    assert.equal(managedEngine.nextStep(700), undefined, "the report still lists the model");
    assert.deepEqual(managedEngine.nextStep(1_400), { type: "read-report" });
    managedEngine.recordReport({ orderCount: 1, busy: false, models: held }, 1_400);
    assert.equal(sendNextOrder(managedEngine, 1_400, "holds").model, "cold");
    const load = sendNextOrder(managedEngine, 1_401, "accepted");
    assert.deepEqual([load.operation, load.model], ["load", "new"]);
});

test("a move whose unload takes too long, since requests use the model, is abandoned", () => {
    const managedEngine = createManagedEngine(["hot", "warm"]);
    managedEngine.beginMove(move("new", ["warm"]), 0);
    sendNextOrder(managedEngine, 0, "accepted");
    assert.deepEqual(managedEngine.nextStep(9_000), { type: "read-report" });
    managedEngine.recordReport({ orderCount: 1, busy: false, models: [{ name: "hot", adapters: [] }] }, 9_000);
    assert.equal(managedEngine.nextStep(9_000), undefined);
    assert.equal(managedEngine.record().loading, undefined);
});

test("a restart of the engine under the same identifier resets its models and order count", () => {
    const managedEngine = createManagedEngine(["hot"], 9);
    managedEngine.applyAnnouncement(createAnnouncement([], { startedAtMilliseconds: 2, announcementNumber: 1 }));
    assert.ok(managedEngine.beginMove(move("hot"), 0));
    assert.equal(sendNextOrder(managedEngine, 0, "accepted").expectedOrderCount, 0);
});

test("a finished adapter load raises the change count, also when it is noticed late", () => {
    const managedEngine = createManagedEngine(["hot"]);
    managedEngine.requestAdapter("hot", "a1", 0);
    sendNextOrder(managedEngine, 0, "accepted");
    managedEngine.nextStep(11);
    const before = managedEngine.changeCount;
    assert.deepEqual(managedEngine.record().models, [{ name: "hot", adapters: [] }]);
    managedEngine.nextStep(200);
    assert.deepEqual(managedEngine.record().models, [{ name: "hot", adapters: ["a1"] }]);
    assert.notEqual(managedEngine.changeCount, before);
});

test("an announcement older than the last report removes no model, so that no other is loaded in its place", () => {
    const managedEngine = createManagedEngine(["hot", "warm"], 4);
    managedEngine.applyAnnouncement(createAnnouncement(["hot"], { announcementNumber: 905 }));
    assert.deepEqual(managedEngine.record().models.map(({ name }) => name), ["hot", "warm"]);
    managedEngine.recordModelAbsent("warm", 100);
    assert.deepEqual(managedEngine.nextStep(100), { type: "read-report" });
    managedEngine.recordReport({ orderCount: 4, busy: false, models: [{ name: "hot", adapters: [] }] }, 110);
    assert.deepEqual(managedEngine.record().models.map(({ name }) => name), ["hot"]);
});

test("a planned load that does not fit the memory by the holder's state is not ordered", () => {
    const managedEngine = createManagedEngine(["hot", "warm", "cold"]);
    assert.ok(managedEngine.beginMove(move("new"), 0));
    assert.equal(sendNextOrder(managedEngine, 0, "accepted").model, "new");
    managedEngine.applyAnnouncement(createAnnouncement(["hot", "warm", "cold", "new"], { announcementNumber: 901 }));
    assert.ok(managedEngine.beginMove(move("other"), 10), "the plan was made before the last model was loaded");
    assert.equal(managedEngine.nextStep(10), undefined);
    assert.equal(managedEngine.record().loading, undefined, "the move is abandoned");
});

test("a report written before the last order is read again", () => {
    const managedEngine = createManagedEngine(["hot", "warm"], 7);
    assert.ok(managedEngine.beginMove(move("new", ["warm"]), 0));
    sendNextOrder(managedEngine, 0, "accepted");
    const before = { orderCount: 7, busy: false, models: [{ name: "hot", adapters: [] }] };
    assert.deepEqual(managedEngine.nextStep(300), { type: "read-report" });
    managedEngine.recordReport(before, 300);
    assert.equal(managedEngine.nextStep(301), undefined);
    assert.deepEqual(managedEngine.nextStep(600), { type: "read-report" });
    managedEngine.recordReport({ ...before, orderCount: 8 }, 600);
    assert.equal(sendNextOrder(managedEngine, 601, "accepted").expectedOrderCount, 8);
});

test("an adapter is unloaded only once no request uses it and 150 ms have passed since the last use", () => {
    const used = new Set(["hot/a1", "hot/a2"]);
    const managedEngine = createManagedEngine(["hot"], 0, { isAdapterUsed: adapter => used.has(adapter) });
    managedEngine.requestAdapter("hot", "a1", 0);
    managedEngine.requestAdapter("hot", "a2", 0);
    sendNextOrder(managedEngine, 0, "accepted");
    sendNextOrder(managedEngine, 0, "accepted");
    managedEngine.requestAdapter("hot", "a3", 5_000);
    assert.equal(managedEngine.nextStep(5_000), undefined, "requests still use both adapters");
    managedEngine.recordAdapterUse("hot", "a2", 5_000);
    used.delete("hot/a2");
    assert.equal(managedEngine.nextStep(5_100), undefined, "a request that needs the adapter may be in flight");
    const dropped = sendNextOrder(managedEngine, 5_200, "holds");
    assert.deepEqual([dropped.operation, dropped.adapter], ["unload", "a2"]);
});

test("a finished load that no announcement lists is detected by a report once the load is overdue", () => {
    const managedEngine = createManagedEngine(["hot"]);
    assert.ok(managedEngine.beginMove(move("warm"), 0));
    sendNextOrder(managedEngine, 0, "accepted");
    assert.equal(managedEngine.nextStep(900), undefined, "the load takes 1,000 ms");
    assert.deepEqual(managedEngine.nextStep(1_500), { type: "read-report" });
    managedEngine.recordReport(
        { orderCount: 1, busy: false, models: [...managedEngine.record().models, { name: "warm", adapters: [] }] },
        1_500,
    );
    assert.deepEqual(managedEngine.record().models.map(({ name }) => name), ["hot", "warm"]);
});

test("the report on a load of local weights, which is faster, is read sooner, and again until the load ends", () => {
    const managedEngine = createManagedEngine(["hot"]);
    managedEngine.applyAnnouncement(createAnnouncement(["hot"], { localWeights: { inMemory: ["warm"], onDisk: [] } }));
    assert.ok(managedEngine.beginMove(move("warm"), 0));
    sendNextOrder(managedEngine, 0, "accepted");
    assert.deepEqual(managedEngine.nextStep(800), { type: "read-report" });
    managedEngine.recordReportRequested();
    managedEngine.recordReport({ orderCount: 1, busy: true, models: [{ name: "hot", adapters: [] }] }, 800);
    assert.equal(managedEngine.record().loading, "warm", "the engine is still loading");
    assert.equal(managedEngine.nextStep(900), undefined);
    assert.deepEqual(managedEngine.nextStep(1_300), { type: "read-report" });
});

test("a report that may predate an announcement removes no model", () => {
    const managedEngine = createManagedEngine(["hot"]);
    assert.ok(managedEngine.beginMove(move("warm"), 0));
    sendNextOrder(managedEngine, 0, "accepted");
    assert.deepEqual(managedEngine.nextStep(1_500), { type: "read-report" });
    managedEngine.recordReportRequested();
    managedEngine.applyAnnouncement(createAnnouncement(["hot", "warm"], { announcementNumber: 901 }));
    managedEngine.recordReport({ orderCount: 1, busy: true, models: [{ name: "hot", adapters: [] }] }, 1_520);
    assert.deepEqual(managedEngine.models, ["hot", "warm"]);
    assert.equal(managedEngine.nextStep(1_600), undefined, "the next report may still lag");
    assert.deepEqual(managedEngine.nextStep(2_100), { type: "read-report" });
});
