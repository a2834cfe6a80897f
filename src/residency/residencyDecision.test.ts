import assert from "node:assert/strict";
import { test } from "node:test";
import { createText } from "../../tests/support/residencyTexts.js";
import { type Deployment } from "../generated/deployment.js";
import { type EngineRecord, type LedgerEntry } from "../generated/platform.js";
import { type EngineOrder, type EngineReport } from "../generated/upstreams.js";
import { createResidencyDecision, type ResidencyEffect, type ResidencyMessage } from "./index.js";

const LEASE_MILLISECONDS = 10_000;

type Write = Extract<ResidencyEffect, { type: "write-record"; }>;

/** Drives one decision by hand over a store of records; orders are collected and never answered by themselves. */
class Driver {
    now = 0;
    readonly sent: EngineOrder[] = [];
    readonly writes: Write[] = [];
    readonly effects: ResidencyEffect[] = [];
    /** What engines say of themselves, where it is not what their record says. */
    readonly reports = new Map<string, Partial<EngineReport>>();
    answersReports = true;
    private revision = 100;
    private identifiers = 0;
    private readonly decision = createResidencyDecision({
        pool: "pool",
        host: "host",
        createIdentifier: () => `own-${this.identifiers += 1}`,
    });

    constructor(
        readonly store: Map<string, { record: EngineRecord; revision: number; }>,
        private readonly answerWrite: (write: Write) => "written" | "unknown" | "none" = () => "written",
    ) {}

    tell(message: ResidencyMessage): void {
        for (const effect of this.decision.handle(message, this.now)) {
            this.effects.push(effect);
            this.answer(effect);
        }
    }

    start(deployment: Deployment, revision: number, epoch: number): void {
        this.tell({ type: "deployment", deployment, revision });
        this.tell({ type: "lease-acquired", epoch, expiresAtMilliseconds: this.now + LEASE_MILLISECONDS });
        this.pass(3_500);
    }

    pass(milliseconds: number): void {
        for (const end = this.now + milliseconds; this.now < end; this.now += 100) {
            this.tell({ type: "tick" });
        }
    }

    swap({ engine, record, expectedStoreRevision }: Write): number | undefined {
        if ((this.store.get(engine)?.revision ?? 0) !== expectedStoreRevision) {
            return undefined;
        }
        this.revision += 1;
        this.store.set(engine, { record, revision: this.revision });
        return this.revision;
    }

    private answer(effect: ResidencyEffect): void {
        if (effect.type === "read-record") {
            const { engine } = effect;
            const stored = this.store.get(engine);
            this.tell({ type: "record-read", engine, record: stored?.record, storeRevision: stored?.revision ?? 0 });
        }
        else if (effect.type === "read-report" && this.answersReports) {
            const { engine, readIdentifier } = effect;
            const report: EngineReport = {
                engine,
                incarnation: this.store.get(engine)?.record.incarnation ?? "first",
                leaving: false,
                running: 0,
                waiting: 0,
                role: "serve",
                models: this.provedModels(engine),
                adapters: [],
                ...this.reports.get(engine),
            };
            this.tell({ type: "engine-reported", report, readIdentifier });
        }
        else if (effect.type === "send-order") {
            this.sent.push(effect.order);
        }
        else if (effect.type === "write-record") {
            this.writes.push(effect);
            this.answerTo(effect);
        }
    }

    private provedModels(engine: string): { name: string; version: string; }[] {
        const entries = this.store.get(engine)?.record.entries ?? [];
        return entries.filter(entry => entry.kind === "model" && entry.resident).map(({ name, version }) => ({
            name,
            version,
        }));
    }

    private answerTo(write: Write): void {
        const { engine, record: { writeIdentifier } } = write;
        const outcome = this.answerWrite(write);
        const storeRevision = outcome === "written" ? this.swap(write) : undefined;
        if (storeRevision !== undefined) {
            this.tell({ type: "record-written", engine, writeIdentifier, storeRevision });
        }
        else if (outcome === "written") {
            this.tell({ type: "record-conflict", engine, writeIdentifier });
        }
        else if (outcome === "unknown") {
            this.tell({ type: "record-write-unknown", engine, writeIdentifier });
        }
    }
}

type StoredEntry = Pick<LedgerEntry, "name" | "megabytes"> & Partial<LedgerEntry>;

function stored(
    engine: string,
    epoch: number,
    entries: readonly StoredEntry[],
): [string, { record: EngineRecord; revision: number; }] {
    const full = entries.map(entry => ({
        kind: "model" as const,
        version: "1",
        resident: true,
        openOrders: [],
        ...entry,
    }));
    const lastFencing = { epoch, sequence: 9 };
    const role = { current: "serve", open: [] };
    return [engine, {
        record: { engine, incarnation: "first", lastFencing, writeIdentifier: "old", role, entries: full },
        revision: 1,
    }];
}

/** Two engines of 100 MB with role and spare copies; model-0 has no copy and needs the room of a spare one. */
function fullPool(epoch = 1): Map<string, { record: EngineRecord; revision: number; }> {
    const small = [{ name: "model-5", megabytes: 15 }, { name: "model-6", megabytes: 10 }, {
        name: "model-4",
        megabytes: 20,
    }];
    return new Map([
        stored("engine-0", epoch, [{ name: "model-1", megabytes: 40 }, ...small]),
        stored("engine-1", epoch, [{ name: "model-2", megabytes: 30 }, { name: "model-3", megabytes: 21 }, ...small]),
    ]);
}

const TIGHT = createText({ checksFencing: false, engines: 2 });

function evictsIn(writes: readonly Write[]): string[] {
    return writes.flatMap(({ record }) =>
        record.entries.filter(entry => entry.openOrders.some(open => open.kind === "evict")).map(entry => entry.name)
    );
}

test("a successor gives up no copy before every copy it counts on is under its own epoch", () => {
    const held: Write[] = [];
    const driver = new Driver(fullPool(), write => {
        if (write.engine === "engine-1" && held.length === 0) {
            held.push(write);
            return "none";
        }
        return "written";
    });
    driver.start(TIGHT, 1, 2);
    driver.pass(2_500);
    assert.deepEqual(evictsIn(driver.writes), []);
    const write = held[0] as Write;
    const storeRevision = driver.swap(write) as number;
    const { writeIdentifier } = write.record;
    driver.tell({ type: "record-written", engine: "engine-1", writeIdentifier, storeRevision });
    driver.pass(2_500);
    assert.notEqual(evictsIn(driver.writes).length, 0);
});

test("orders of a write that takes effect long after its answer was lost are closed, and none is sent", () => {
    const late: Write[] = [];
    const driver = new Driver(fullPool(), write => {
        if (evictsIn([write]).length > 0 && late.length === 0) {
            late.push(write);
            return "unknown";
        }
        return late.length === 1 ? "none" : "written";
    });
    driver.start(TIGHT, 1, 2);
    const write = late[0] as Write;
    const unsent = evictsIn([write]);
    driver.swap(write);
    const before = driver.sent.length;
    late.push(write);
    driver.tell({ type: "lease-renewed", expiresAtMilliseconds: driver.now + LEASE_MILLISECONDS });
    const blocked = driver.writes.at(-1) as Write;
    driver.tell({ type: "record-conflict", engine: blocked.engine, writeIdentifier: blocked.record.writeIdentifier });
    driver.pass(500);
    const fencing = write.record.lastFencing;
    const open = driver.store.get(write.engine)?.record.entries.flatMap(entry => entry.openOrders) ?? [];
    assert.ok(unsent.length > 0);
    assert.ok(open.every(order => order.fencing.sequence > fencing.sequence), JSON.stringify(open));
    assert.ok(driver.sent.slice(before).every(order => order.fencing.sequence > fencing.sequence));
});

test("nothing is written or sent when the lease is about to run out", () => {
    const driver = new Driver(fullPool());
    driver.start(TIGHT, 1, 2);
    driver.now = LEASE_MILLISECONDS - 1_000;
    driver.effects.splice(0);
    driver.pass(5_000);
    assert.deepEqual(driver.effects, []);
});

test("a holder that finds a later epoch in a record stops", () => {
    const driver = new Driver(fullPool(3));
    driver.start(TIGHT, 1, 2);
    assert.deepEqual(driver.writes, []);
    assert.deepEqual(driver.sent, []);
});

test("a holder with an older text than the last holder's evicts nothing for being unlisted", () => {
    const pool = new Map([stored("engine-0", 1, [{ name: "new-model", megabytes: 20 }])]);
    (pool.get("engine-0") as { record: EngineRecord; }).record.deploymentRevision = 7;
    const old = new Driver(new Map(pool));
    old.start(TIGHT, 6, 2);
    assert.ok(!old.sent.some(order => order.kind === "evict-model"));
    const current = new Driver(new Map(pool));
    current.start(TIGHT, 7, 2);
    assert.ok(current.sent.some(order => order.kind === "evict-model" && order.name === "new-model"));
});

test("an adapter whose load of this or an earlier holder was lost keeps its room on engines that ignore fencing", () => {
    const adapter = { kind: "adapter" as const, name: "adapter-1", version: "model-1", megabytes: 3, resident: false };
    const openOrders = [{ fencing: { epoch: 1, sequence: 3 }, kind: "load" as const }];
    const unlisted = createText({ checksFencing: false, engines: 2 });
    unlisted.adapters = [];
    const inherited = new Driver(new Map([stored("engine-0", 1, [{ ...adapter, openOrders }])]));
    inherited.start(unlisted, 1, 2);
    assert.ok(!inherited.sent.some(order => order.kind === "evict-adapter"));

    const driver = new Driver(new Map([stored("engine-0", 1, [{ name: "model-1", megabytes: 40 }])]));
    driver.start(TIGHT, 1, 2);
    driver.tell({ type: "adapter-wanted", model: "model-1", adapter: "adapter-1" });
    const load = driver.sent.find(order => order.kind === "load-adapter") as EngineOrder;
    driver.tell({ type: "order-unanswered", engine: "engine-0", order: load });
    driver.pass(1_000);
    const again = driver.sent.findLast(order => order.kind === "load-adapter") as EngineOrder;
    assert.notEqual(again, load);
    driver.tell({
        type: "order-answered",
        engine: "engine-0",
        order: again,
        answer: { outcome: "done", incarnation: "first" },
    });
    const entry = driver.store.get("engine-0")?.record.entries.find(({ name }) => name === "adapter-1");
    assert.ok(entry?.resident === true && entry.openOrders.length === 1);
    driver.tell({ type: "deployment", deployment: unlisted, revision: 2 });
    driver.pass(1_000);
    const names = driver.store.get("engine-0")?.record.entries.map(entry => entry.name) ?? [];
    assert.ok(names.includes(load.name));
    assert.ok(!driver.sent.some(order => order.kind === "evict-adapter" && order.name === load.name));
});

test("a late report of another incarnation changes nothing, be it asked for or not", () => {
    const driver = new Driver(fullPool());
    driver.start(TIGHT, 1, 2);
    const report: EngineReport = {
        engine: "engine-0",
        incarnation: "older",
        leaving: false,
        running: 0,
        waiting: 0,
        role: "",
        models: [],
        adapters: [],
    };
    driver.tell({ type: "engine-reported", report });
    driver.pass(300);
    assert.equal(driver.store.get("engine-0")?.record.incarnation, "first");

    driver.answersReports = false;
    driver.pass(1_500);
    const asked = driver.effects.findLast(effect => effect.type === "read-report" && effect.engine === "engine-0");
    const readIdentifier = asked?.type === "read-report" ? asked.readIdentifier : "";
    driver.now += 5_000;
    driver.answersReports = true;
    driver.reports.set("engine-0", { incarnation: "second" });
    driver.tell({ type: "lease-renewed", expiresAtMilliseconds: driver.now + LEASE_MILLISECONDS });
    driver.pass(1_000);
    driver.tell({ type: "engine-reported", report, readIdentifier });
    driver.pass(300);
    assert.equal(driver.store.get("engine-0")?.record.incarnation, "second");
});

test("an answer to an order of a former incarnation does not touch the ledger of a new one", () => {
    let isHeld = false;
    const driver = new Driver(fullPool(), write => isHeld && write.engine === "engine-0" ? "none" : "written");
    driver.start(TIGHT, 1, 2);
    driver.pass(1_000);
    const [first, second] = driver.sent.filter(order => order.kind === "evict-model") as [EngineOrder, EngineOrder];
    const answer = { outcome: "done" as const, incarnation: "first" };
    isHeld = true;
    driver.tell({ type: "order-answered", engine: "engine-0", order: first, answer });
    driver.tell({ type: "order-answered", engine: "engine-0", order: second, answer });
    const models = [{ name: second.name, version: "1" }];
    driver.reports.set("engine-0", { incarnation: "second", models });
    driver.pass(1_500);
    isHeld = false;
    const held = driver.writes.findLast(write => write.engine === "engine-0") as Write;
    const storeRevision = driver.swap(held) as number;
    const { writeIdentifier } = held.record;
    driver.tell({ type: "record-written", engine: "engine-0", writeIdentifier, storeRevision });
    const { record } = driver.store.get("engine-0") as { record: EngineRecord; };
    assert.equal(record.incarnation, "second");
    assert.ok(record.entries.some(entry => entry.name === second.name && entry.resident));
});

test("an evict is not sent if the copy it relied on is in doubt by the time its intent is written", () => {
    const held: Write[] = [];
    const driver = new Driver(fullPool(), write => {
        if (evictsIn([write]).length > 0) {
            held.push(write);
            return "none";
        }
        return "written";
    });
    driver.start(TIGHT, 1, 2);
    const write = held[0] as Write;
    driver.answersReports = false;
    driver.tell({ type: "engine-unreachable", engine: "engine-1" });
    const storeRevision = driver.swap(write) as number;
    const { writeIdentifier } = write.record;
    driver.tell({ type: "record-written", engine: write.engine, writeIdentifier, storeRevision });
    assert.ok(!driver.sent.some(order => order.kind === "evict-model"));
    assert.deepEqual(evictsIn(held.slice(1)), []);
});

test("an answer of another incarnation than the order was sent to leaves the order open", () => {
    const driver = new Driver(fullPool());
    driver.start(TIGHT, 1, 2);
    const order = driver.sent.find(({ kind }) => kind === "evict-model") as EngineOrder;
    driver.tell({
        type: "order-answered",
        engine: "engine-0",
        order,
        answer: { outcome: "done", incarnation: "other" },
    });
    driver.pass(200);
    const entry = driver.store.get("engine-0")?.record.entries.find(({ name }) => name === order.name);
    assert.deepEqual(entry?.openOrders[0]?.fencing, order.fencing);
});

test("a copy is told to nobody any more before its evict is recorded, and waits for requests", () => {
    const driver = new Driver(fullPool(), write => evictsIn([write]).length > 0 ? "none" : "written");
    driver.reports.set("engine-0", { running: 3 });
    driver.start(TIGHT, 1, 2);
    driver.pass(2_000);
    assert.deepEqual(evictsIn(driver.writes), []);
    const digests = driver.effects.flatMap(effect => effect.type === "publish-residency" ? [effect.digest] : []);
    const told = digests.findLast(digest => digest.engine === "engine-0")?.models.map(({ name }) => name) ?? [];
    driver.pass(4_500);
    assert.ok(evictsIn(driver.writes).length > 0);
    assert.deepEqual(evictsIn(driver.writes).filter(name => told.includes(name)), []);
});

test("a copy that its engine does not name for long is loaded again and not relied on", () => {
    const driver = new Driver(fullPool());
    driver.reports.set("engine-1", { models: [] });
    driver.start(createText({ checksFencing: true, engines: 2 }), 1, 2);
    const early = driver.sent.filter(order => order.kind === "load-model").map(order => order.name);
    for (let round = 0; round < 3; round += 1) {
        driver.tell({ type: "lease-renewed", expiresAtMilliseconds: driver.now + LEASE_MILLISECONDS });
        driver.pass(5_000);
    }
    const late = driver.sent.filter(order => order.kind === "load-model").map(order => order.name);
    assert.ok(!early.includes("model-2"));
    assert.ok(late.includes("model-2"));
});

test("an old version is told until others have had time to hear of the new one", () => {
    const [one, two] = [stored("engine-0", 1, [{ name: "model-0", megabytes: 45 }]), stored("engine-1", 1, [])];
    const driver = new Driver(new Map([one, two]));
    const text = createText({ checksFencing: true, engines: 2, version: "2" });
    driver.start({ ...text, models: text.models.slice(0, 1), adapters: [] }, 1, 2);
    const isTold = (engine: string): boolean =>
        driver.effects.findLast(effect =>
            effect.type === "publish-residency" && effect.digest.engine === engine
            && effect.digest.models.some(({ name }) => name === "model-0")
        ) === driver.effects.findLast(effect => effect.type === "publish-residency" && effect.digest.engine === engine);
    const load = driver.sent.find(order => order.kind === "load-model" && order.name === "model-0") as EngineOrder;
    driver.tell({
        type: "order-answered",
        engine: "engine-1",
        order: load,
        answer: { outcome: "done", incarnation: "first" },
    });
    assert.ok(isTold("engine-1"));
    driver.pass(900);
    assert.ok(isTold("engine-0"));
    driver.pass(500);
    assert.ok(!isTold("engine-0"));
});
