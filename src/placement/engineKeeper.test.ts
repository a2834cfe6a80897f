import assert from "node:assert/strict";
import { test } from "node:test";
import { type UpstreamAnnouncement } from "../fleet/index.js";
import { type EngineDefinition } from "../routes/index.js";
import { EngineKeeper, type EngineOrder, type OrderOutcome } from "./index.js";

const DEFINITION: EngineDefinition = {
    slots: 64,
    cacheTokens: 100_000,
    weightMegabytes: 130,
    adapterSlots: 2,
    loadsPerSecond: 1,
    models: [],
};

function announcement(models: readonly string[], overrides: Partial<UpstreamAnnouncement> = {}): UpstreamAnnouncement {
    return {
        id: "engine",
        startedAtMilliseconds: 1,
        service: "llm",
        address: "10.0.0.1:80",
        zone: "z",
        slots: 64,
        leaving: false,
        remainingMilliseconds: undefined,
        announcementNumber: 900,
        models: models.map(name => ({ name, adapters: [] })),
        weightsAtHand: { inMemory: [], onDisk: [] },
        ...overrides,
    };
}

function keep(models: readonly string[], orderCount = 0): EngineKeeper {
    const keeper = new EngineKeeper(announcement(models), DEFINITION);
    keeper.reported({ orderCount, busy: false, models: models.map(name => ({ name, adapters: [] })) }, 0);
    return keeper;
}

/** Sends the next order and gives it the outcome. */
function carryOut(keeper: EngineKeeper, now: number, outcome: OrderOutcome): EngineOrder {
    const step = keeper.nextStep(now);
    assert.ok(step?.type === "order", `an order at ${now}`);
    keeper.sent(step.order, now);
    keeper.answered(step.order, outcome, now);
    return step.order;
}

test("a holder reads the engine's report before its first order; an announcement's number is no order count", () => {
    const keeper = new EngineKeeper(announcement(["hot"]), DEFINITION);
    keeper.want("hot", "a1", 0);
    assert.deepEqual(keeper.nextStep(0), { type: "read-report" });
    keeper.reported({ orderCount: 7, busy: false, models: [{ name: "hot", adapters: [] }] }, 0);
    assert.equal(carryOut(keeper, 0, "accepted").expectedOrderCount, 7);
});

test("an engine that carries out an order of an earlier holder gets none until its report says that it is done", () => {
    const keeper = new EngineKeeper(announcement(["hot"]), DEFINITION);
    keeper.reading();
    keeper.reported({ orderCount: 7, busy: true, models: [{ name: "hot", adapters: [] }] }, 0);
    const step = { operation: "load", model: "warm", reason: "no-copy", gain: 1 } as const;
    assert.equal(keeper.orderFor(step, 10), undefined);
    keeper.want("hot", "a1", 10);
    assert.equal(keeper.nextStep(10), undefined);
    assert.deepEqual(keeper.nextStep(1_000), { type: "read-report" });
    keeper.reported({
        orderCount: 7,
        busy: false,
        models: [{ name: "hot", adapters: [] }, { name: "warm", adapters: [] }],
    }, 1_000);
    assert.equal(keeper.orderFor(step, 1_000)?.expectedOrderCount, 7);
});

test("an order without an answer is sent again under the same order count, so that it takes effect once", () => {
    const keeper = keep(["hot"], 4);
    keeper.want("hot", "a1", 0);
    const first = carryOut(keeper, 0, "unknown");
    const again = carryOut(keeper, 400, "accepted");
    assert.deepEqual(again, first);
    assert.equal(keeper.record().orderCount, 5);
});

test("after a conflict the report is read, once it cannot lag behind the order any more", () => {
    const keeper = keep(["hot"], 4);
    keeper.want("hot", "a1", 0);
    carryOut(keeper, 0, "conflict");
    assert.equal(keeper.nextStep(200), undefined);
    assert.deepEqual(keeper.nextStep(600), { type: "read-report" });
    keeper.reported({ orderCount: 5, busy: false, models: [{ name: "hot", adapters: ["a1"] }] }, 600);
    assert.deepEqual(keeper.record().models, [{ name: "hot", adapters: ["a1"] }]);
    assert.equal(keeper.nextStep(601), undefined, "the wish has come true");
});

test("an adapter counts as held once it has had time to load, and adapters never exceed their slots", () => {
    const keeper = keep(["hot"]);
    keeper.want("hot", "a1", 0);
    keeper.want("hot", "a2", 0);
    keeper.want("hot", "a3", 0);
    carryOut(keeper, 0, "accepted");
    carryOut(keeper, 0, "accepted");
    assert.deepEqual(keeper.record().models, [{ name: "hot", adapters: [] }]);
    assert.equal(keeper.nextStep(50), undefined, "both adapters are in use");
    assert.deepEqual(keeper.record().models, [{ name: "hot", adapters: ["a1", "a2"] }]);
    keeper.noteUse("hot", "a2", 700);
    keeper.want("hot", "a3", 700);
    const dropped = carryOut(keeper, 700, "holds");
    assert.deepEqual([dropped.operation, dropped.adapter], ["unload", "a1"]);
    assert.deepEqual(carryOut(keeper, 700, "accepted").adapter, "a3");
});

test("weights that are loading take the engine's only order, and count from the announcement on", () => {
    const keeper = keep(["hot"]);
    const order = keeper.orderFor({ operation: "load", model: "warm", reason: "no-copy", gain: 1 }, 0);
    assert.ok(order !== undefined);
    keeper.sent(order, 0);
    keeper.answered(order, "accepted", 5);
    keeper.want("hot", "a1", 10);
    assert.equal(keeper.nextStep(10), undefined);
    assert.equal(keeper.record().loading, "warm");
    assert.equal(keeper.storeLoadsSince(0), 1);
    keeper.observe(announcement(["hot", "warm"], { announcementNumber: 901 }));
    assert.equal(keeper.record().loading, undefined);
    assert.equal(keeper.nextStep(11)?.type, "order");
});

test("a model that is being dropped takes no requests and keeps its room until the engine has dropped it", () => {
    const keeper = keep(["hot", "warm"]);
    const order = keeper.orderFor({ operation: "unload", model: "warm", reason: "make-room", gain: 1 }, 0);
    assert.ok(order !== undefined);
    keeper.sent(order, 0);
    keeper.answered(order, "accepted", 5);
    keeper.observe(announcement(["hot", "warm"], { announcementNumber: 901 }));
    assert.deepEqual(keeper.record().models.map(({ name }) => name), ["hot"]);
    const load = { operation: "load", model: "cold", reason: "no-copy", gain: 1 } as const;
    assert.equal(keeper.orderFor(load, 10), undefined);
    keeper.observe(announcement(["hot"], { announcementNumber: 902 }));
    assert.notEqual(keeper.orderFor(load, 20), undefined);
});

test("a restart of the engine under its identifier forgets what it held and counted", () => {
    const keeper = keep(["hot"], 9);
    keeper.observe(announcement([], { startedAtMilliseconds: 2, announcementNumber: 1 }));
    const order = keeper.orderFor({ operation: "load", model: "hot", reason: "no-copy", gain: 1 }, 0);
    assert.equal(order?.expectedOrderCount, 0);
});

test("an adapter that arrives is a change to tell, whenever the holder looks", () => {
    const keeper = keep(["hot"]);
    keeper.want("hot", "a1", 0);
    carryOut(keeper, 0, "accepted");
    keeper.nextStep(11);
    const before = keeper.changeCount;
    assert.deepEqual(keeper.record().models, [{ name: "hot", adapters: [] }]);
    keeper.nextStep(200);
    assert.deepEqual(keeper.record().models, [{ name: "hot", adapters: ["a1"] }]);
    assert.notEqual(keeper.changeCount, before);
});
