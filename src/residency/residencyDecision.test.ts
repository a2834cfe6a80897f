import assert from "node:assert/strict";
import { test } from "node:test";
import { createDeployment } from "../../tests/support/residencyDeployments.js";
import { type Deployment } from "../generated/deployment.js";
import { type EngineRecord, type LedgerEntry } from "../generated/platform.js";
import { type EngineOrder, type EngineReport } from "../generated/upstreams.js";
import { createResidencyDecision, type ResidencyEffect, type ResidencyMessage } from "./index.js";

const LEASE_MILLISECONDS = 10_000;

type Write = Extract<ResidencyEffect, { type: "write-record"; }>;

/** Runs one decision against an in-memory store of records; orders are collected, and a test answers them itself. */
class Driver {
    now = 0;
    readonly sentOrders: EngineOrder[] = [];
    readonly writes: Write[] = [];
    readonly effects: ResidencyEffect[] = [];
    /** Fields of engines' reports that differ from their records. */
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
        private readonly decideWriteOutcome: (write: Write) => "written" | "unknown" | "none" = () => "written",
    ) {}

    deliver(message: ResidencyMessage): void {
        for (const effect of this.decision.handle(message, this.now)) {
            this.effects.push(effect);
            this.performEffect(effect);
        }
    }

    start(deployment: Deployment, revision: number, epoch: number): void {
        this.deliver({ type: "deployment", deployment, revision });
        this.deliver({ type: "lease-acquired", epoch, expiresAtMilliseconds: this.now + LEASE_MILLISECONDS });
        this.advance(3_500);
    }

    advance(milliseconds: number): void {
        for (const end = this.now + milliseconds; this.now < end; this.now += 100) {
            this.deliver({ type: "tick" });
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

    private performEffect(effect: ResidencyEffect): void {
        if (effect.type === "read-record") {
            const { engine } = effect;
            const stored = this.store.get(engine);
            this.deliver({ type: "record-read", engine, record: stored?.record, storeRevision: stored?.revision ?? 0 });
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
            this.deliver({ type: "engine-reported", report, readIdentifier });
        }
        else if (effect.type === "send-order") {
            this.sentOrders.push(effect.order);
        }
        else if (effect.type === "write-record") {
            this.writes.push(effect);
            this.reportWriteOutcome(effect);
        }
    }

    private provedModels(engine: string): { name: string; version: string; }[] {
        const entries = this.store.get(engine)?.record.entries ?? [];
        return entries.filter(entry => entry.kind === "model" && entry.resident).map(({ name, version }) => ({
            name,
            version,
        }));
    }

    private reportWriteOutcome(write: Write): void {
        const { engine, record: { writeIdentifier } } = write;
        const outcome = this.decideWriteOutcome(write);
        const storeRevision = outcome === "written" ? this.swap(write) : undefined;
        if (storeRevision !== undefined) {
            this.deliver({ type: "record-written", engine, writeIdentifier, storeRevision });
        }
        else if (outcome === "written") {
            this.deliver({ type: "record-conflict", engine, writeIdentifier });
        }
        else if (outcome === "unknown") {
            this.deliver({ type: "record-write-unknown", engine, writeIdentifier });
        }
    }
}

type StoredEntry = Pick<LedgerEntry, "name" | "megabytes"> & Partial<LedgerEntry>;

function createStoredRecord(
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

/** Two engines of 100 MB with a role and spare copies; model-0 has no copy and needs the memory of a spare one. */
function createFullPool(epoch = 1): Map<string, { record: EngineRecord; revision: number; }> {
    const small = [{ name: "model-5", megabytes: 15 }, { name: "model-6", megabytes: 10 }, {
        name: "model-4",
        megabytes: 20,
    }];
    return new Map([
        createStoredRecord("engine-0", epoch, [{ name: "model-1", megabytes: 40 }, ...small]),
        createStoredRecord("engine-1", epoch, [
            { name: "model-2", megabytes: 30 },
            { name: "model-3", megabytes: 21 },
            ...small,
        ]),
    ]);
}

const TIGHT_DEPLOYMENT = createDeployment({ checksFencing: false, engines: 2 });

function modelsWithOpenEvict(writes: readonly Write[]): string[] {
    return writes.flatMap(({ record }) =>
        record.entries.filter(entry => entry.openOrders.some(open => open.kind === "evict")).map(entry => entry.name)
    );
}

test("a new holder evicts no copy before the remaining copies are recorded under its own epoch", () => {
    const heldWrites: Write[] = [];
    const driver = new Driver(createFullPool(), write => {
        if (write.engine === "engine-1" && heldWrites.length === 0) {
            heldWrites.push(write);
            return "none";
        }
        return "written";
    });
    driver.start(TIGHT_DEPLOYMENT, 1, 2);
    driver.advance(2_500);
    assert.deepEqual(modelsWithOpenEvict(driver.writes), []);
    const write = heldWrites[0] as Write;
    const storeRevision = driver.swap(write) as number;
    const { writeIdentifier } = write.record;
    driver.deliver({ type: "record-written", engine: "engine-1", writeIdentifier, storeRevision });
    driver.advance(2_500);
    assert.notEqual(modelsWithOpenEvict(driver.writes).length, 0);
});

test("the orders of a write that takes effect late, after its answer was lost, are closed and not sent", () => {
    const lateWrites: Write[] = [];
    const driver = new Driver(createFullPool(), write => {
        if (modelsWithOpenEvict([write]).length > 0 && lateWrites.length === 0) {
            lateWrites.push(write);
            return "unknown";
        }
        return lateWrites.length === 1 ? "none" : "written";
    });
    driver.start(TIGHT_DEPLOYMENT, 1, 2);
    const write = lateWrites[0] as Write;
    const evictedModels = modelsWithOpenEvict([write]);
    driver.swap(write);
    const sentCount = driver.sentOrders.length;
    lateWrites.push(write);
    driver.deliver({ type: "lease-renewed", expiresAtMilliseconds: driver.now + LEASE_MILLISECONDS });
    const blocked = driver.writes.at(-1) as Write;
    driver.deliver({
        type: "record-conflict",
        engine: blocked.engine,
        writeIdentifier: blocked.record.writeIdentifier,
    });
    driver.advance(500);
    const fencing = write.record.lastFencing;
    const open = driver.store.get(write.engine)?.record.entries.flatMap(entry => entry.openOrders) ?? [];
    assert.ok(evictedModels.length > 0);
    assert.ok(open.every(order => order.fencing.sequence > fencing.sequence), JSON.stringify(open));
    assert.ok(driver.sentOrders.slice(sentCount).every(order => order.fencing.sequence > fencing.sequence));
});

test("nothing is written or sent when the lease is about to expire", () => {
    const driver = new Driver(createFullPool());
    driver.start(TIGHT_DEPLOYMENT, 1, 2);
    driver.now = LEASE_MILLISECONDS - 1_000;
    driver.effects.splice(0);
    driver.advance(5_000);
    assert.deepEqual(driver.effects, []);
});

test("a holder that reads a record with a later epoch stops", () => {
    const driver = new Driver(createFullPool(3));
    driver.start(TIGHT_DEPLOYMENT, 1, 2);
    assert.deepEqual(driver.writes, []);
    assert.deepEqual(driver.sentOrders, []);
});

test("a holder with an older configuration than the previous holder does not evict unlisted models", () => {
    const pool = new Map([createStoredRecord("engine-0", 1, [{ name: "new-model", megabytes: 20 }])]);
    (pool.get("engine-0") as { record: EngineRecord; }).record.deploymentRevision = 7;
    const olderConfiguration = new Driver(new Map(pool));
    olderConfiguration.start(TIGHT_DEPLOYMENT, 6, 2);
    assert.ok(!olderConfiguration.sentOrders.some(order => order.kind === "evict-model"));
    const sameConfiguration = new Driver(new Map(pool));
    sameConfiguration.start(TIGHT_DEPLOYMENT, 7, 2);
    assert.ok(sameConfiguration.sentOrders.some(order => order.kind === "evict-model" && order.name === "new-model"));
});

test("on engines that ignore fencing, an adapter with an unanswered load, of any holder, stays in the ledger", () => {
    const adapter = { kind: "adapter" as const, name: "adapter-1", version: "model-1", megabytes: 3, resident: false };
    const openOrders = [{ fencing: { epoch: 1, sequence: 3 }, kind: "load" as const }];
    const unlisted = createDeployment({ checksFencing: false, engines: 2 });
    unlisted.adapters = [];
    const inherited = new Driver(new Map([createStoredRecord("engine-0", 1, [{ ...adapter, openOrders }])]));
    inherited.start(unlisted, 1, 2);
    assert.ok(!inherited.sentOrders.some(order => order.kind === "evict-adapter"));

    const driver = new Driver(new Map([createStoredRecord("engine-0", 1, [{ name: "model-1", megabytes: 40 }])]));
    driver.start(TIGHT_DEPLOYMENT, 1, 2);
    driver.deliver({ type: "adapter-wanted", model: "model-1", adapter: "adapter-1" });
    const load = driver.sentOrders.find(order => order.kind === "load-adapter") as EngineOrder;
    driver.deliver({ type: "order-unanswered", engine: "engine-0", order: load });
    driver.advance(1_000);
    const retry = driver.sentOrders.findLast(order => order.kind === "load-adapter") as EngineOrder;
    assert.notEqual(retry, load);
    driver.deliver({
        type: "order-answered",
        engine: "engine-0",
        order: retry,
        answer: { outcome: "done", incarnation: "first" },
    });
    const entry = driver.store.get("engine-0")?.record.entries.find(({ name }) => name === "adapter-1");
    assert.ok(entry?.resident === true && entry.openOrders.length === 1);
    driver.deliver({ type: "deployment", deployment: unlisted, revision: 2 });
    driver.advance(1_000);
    const names = driver.store.get("engine-0")?.record.entries.map(entry => entry.name) ?? [];
    assert.ok(names.includes(load.name));
    assert.ok(!driver.sentOrders.some(order => order.kind === "evict-adapter" && order.name === load.name));
});

test("a late report of another incarnation changes nothing, whether or not it was requested", () => {
    const driver = new Driver(createFullPool());
    driver.start(TIGHT_DEPLOYMENT, 1, 2);
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
    driver.deliver({ type: "engine-reported", report });
    driver.advance(300);
    assert.equal(driver.store.get("engine-0")?.record.incarnation, "first");

    driver.answersReports = false;
    driver.advance(1_500);
    const requested = driver.effects.findLast(effect => effect.type === "read-report" && effect.engine === "engine-0");
    const readIdentifier = requested?.type === "read-report" ? requested.readIdentifier : "";
    driver.now += 5_000;
    driver.answersReports = true;
    driver.reports.set("engine-0", { incarnation: "second" });
    driver.deliver({ type: "lease-renewed", expiresAtMilliseconds: driver.now + LEASE_MILLISECONDS });
    driver.advance(1_000);
    driver.deliver({ type: "engine-reported", report, readIdentifier });
    driver.advance(300);
    assert.equal(driver.store.get("engine-0")?.record.incarnation, "second");
});

test("an answer to an order to an earlier incarnation does not change the ledger of the new one", () => {
    let isHeld = false;
    const driver = new Driver(createFullPool(), write => isHeld && write.engine === "engine-0" ? "none" : "written");
    driver.start(TIGHT_DEPLOYMENT, 1, 2);
    driver.advance(1_000);
    const [first, second] = driver.sentOrders.filter(order => order.kind === "evict-model") as [
        EngineOrder,
        EngineOrder,
    ];
    const answer = { outcome: "done" as const, incarnation: "first" };
    isHeld = true;
    driver.deliver({ type: "order-answered", engine: "engine-0", order: first, answer });
    driver.deliver({ type: "order-answered", engine: "engine-0", order: second, answer });
    const models = [{ name: second.name, version: "1" }];
    driver.reports.set("engine-0", { incarnation: "second", models });
    driver.advance(1_500);
    isHeld = false;
    const heldWrite = driver.writes.findLast(write => write.engine === "engine-0") as Write;
    const storeRevision = driver.swap(heldWrite) as number;
    const { writeIdentifier } = heldWrite.record;
    driver.deliver({ type: "record-written", engine: "engine-0", writeIdentifier, storeRevision });
    const { record } = driver.store.get("engine-0") as { record: EngineRecord; };
    assert.equal(record.incarnation, "second");
    assert.ok(record.entries.some(entry => entry.name === second.name && entry.resident));
});

test("an evict is not sent if the remaining copy is no longer confirmed once its intent is written", () => {
    const heldWrites: Write[] = [];
    const driver = new Driver(createFullPool(), write => {
        if (modelsWithOpenEvict([write]).length > 0) {
            heldWrites.push(write);
            return "none";
        }
        return "written";
    });
    driver.start(TIGHT_DEPLOYMENT, 1, 2);
    const write = heldWrites[0] as Write;
    driver.answersReports = false;
    driver.deliver({ type: "engine-unreachable", engine: "engine-1" });
    const storeRevision = driver.swap(write) as number;
    const { writeIdentifier } = write.record;
    driver.deliver({ type: "record-written", engine: write.engine, writeIdentifier, storeRevision });
    assert.ok(!driver.sentOrders.some(order => order.kind === "evict-model"));
    assert.deepEqual(modelsWithOpenEvict(heldWrites.slice(1)), []);
});

test("an answer from another incarnation than the order was sent to leaves the order open", () => {
    const driver = new Driver(createFullPool());
    driver.start(TIGHT_DEPLOYMENT, 1, 2);
    const order = driver.sentOrders.find(({ kind }) => kind === "evict-model") as EngineOrder;
    driver.deliver({
        type: "order-answered",
        engine: "engine-0",
        order,
        answer: { outcome: "done", incarnation: "other" },
    });
    driver.advance(200);
    const entry = driver.store.get("engine-0")?.record.entries.find(({ name }) => name === order.name);
    assert.deepEqual(entry?.openOrders[0]?.fencing, order.fencing);
});

test("a copy is no longer published before its evict is recorded, and the evict waits for running requests", () => {
    const driver = new Driver(createFullPool(), write => modelsWithOpenEvict([write]).length > 0 ? "none" : "written");
    driver.reports.set("engine-0", { running: 3 });
    driver.start(TIGHT_DEPLOYMENT, 1, 2);
    driver.advance(2_000);
    assert.deepEqual(modelsWithOpenEvict(driver.writes), []);
    const digests = driver.effects.flatMap(effect => effect.type === "publish-residency" ? [effect.digest] : []);
    const published = digests.findLast(digest => digest.engine === "engine-0")?.models.map(({ name }) => name) ?? [];
    driver.advance(4_500);
    assert.ok(modelsWithOpenEvict(driver.writes).length > 0);
    assert.deepEqual(modelsWithOpenEvict(driver.writes).filter(name => published.includes(name)), []);
});

test("a copy that its engine omits from its reports for long no longer counts, and is loaded again", () => {
    const driver = new Driver(createFullPool());
    driver.reports.set("engine-1", { models: [] });
    driver.start(createDeployment({ checksFencing: true, engines: 2 }), 1, 2);
    const early = driver.sentOrders.filter(order => order.kind === "load-model").map(order => order.name);
    for (let round = 0; round < 3; round += 1) {
        driver.deliver({ type: "lease-renewed", expiresAtMilliseconds: driver.now + LEASE_MILLISECONDS });
        driver.advance(5_000);
    }
    const late = driver.sentOrders.filter(order => order.kind === "load-model").map(order => order.name);
    assert.ok(!early.includes("model-2"));
    assert.ok(late.includes("model-2"));
});

test("an old version is published until the new one's digest has had time to reach other hosts", () => {
    const [one, two] = [
        createStoredRecord("engine-0", 1, [{ name: "model-0", megabytes: 45 }]),
        createStoredRecord("engine-1", 1, []),
    ];
    const driver = new Driver(new Map([one, two]));
    const deployment = createDeployment({ checksFencing: true, engines: 2, version: "2" });
    driver.start({ ...deployment, models: deployment.models.slice(0, 1), adapters: [] }, 1, 2);
    const isPublished = (engine: string): boolean =>
        driver.effects.findLast(effect =>
            effect.type === "publish-residency" && effect.digest.engine === engine
            && effect.digest.models.some(({ name }) => name === "model-0")
        ) === driver.effects.findLast(effect => effect.type === "publish-residency" && effect.digest.engine === engine);
    const load = driver.sentOrders.find(order =>
        order.kind === "load-model" && order.name === "model-0"
    ) as EngineOrder;
    driver.deliver({
        type: "order-answered",
        engine: "engine-1",
        order: load,
        answer: { outcome: "done", incarnation: "first" },
    });
    assert.ok(isPublished("engine-1"));
    driver.advance(900);
    assert.ok(isPublished("engine-0"));
    driver.advance(500);
    assert.ok(!isPublished("engine-0"));
});
