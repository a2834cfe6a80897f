/**
 * Measures the state, key-value calls and processor time of one pool's residency decision by engines and models.
 *
 * @module
 */
import { match } from "ts-pattern";
import { type Deployment } from "../../src/generated/deployment.js";
import { type EngineRecord } from "../../src/generated/platform.js";
import { type EngineOrder } from "../../src/generated/upstreams.js";
import { createResidencyDecision, type ResidencyEffect, type ResidencyMessage } from "../../src/residency/index.js";
import { heapBytes, microsecondsPerCall } from "./probe.js";
import { sampleDeployment } from "./sampleDeployment.js";

const TICK_MILLISECONDS = 200;
const REPORT_EVERY_TICKS = 5;
const LOAD_ALL_TICKS = 600;
const MEASURED_TICKS = 200;
const LEASE_MILLISECONDS = 1e9;

/** Cost of residency for the holder of one pool. */
export interface ResidencyFigures {
    readonly engines: number;
    readonly models: number;
    readonly loads: number;
    readonly storeWritesPerLoad: number;
    readonly storeReadsPerLoad: number;
    /** Mean size of an engine's record once all models are loaded. */
    readonly recordBytes: number;
    readonly residencyDigestBytes: number;
    readonly processorMillisecondsPerSecond: number;
    readonly stateBytes: number;
}

interface StoredRecord {
    readonly record: EngineRecord;
    readonly revision: number;
}

/** Performs a residency decision's effects immediately, as a key-value service and engines without faults would. */
class PoolDriver {
    readonly #decision;
    readonly #records = new Map<string, StoredRecord>();
    readonly #loadedModels = new Map<string, Map<string, string>>();
    readonly #engines: readonly string[];
    now = 0;
    loads = 0;
    reads = 0;
    writes = 0;
    digestBytes = 0;

    constructor(deployment: Deployment) {
        let identifiers = 0;
        this.#decision = createResidencyDecision({
            pool: "pool-0",
            host: "entry-0",
            createIdentifier: () => `w-${identifiers++}`,
        });
        this.#engines = deployment.pools[0]?.engines.map(({ name }) => name) ?? [];
        this.send({ type: "deployment", deployment, revision: 1 });
        this.send({ type: "lease-acquired", epoch: 1, expiresAtMilliseconds: LEASE_MILLISECONDS });
    }

    get recordBytes(): number {
        const sizes = [...this.#records.values()].map(({ record }) => JSON.stringify(record).length);
        return sizes.reduce((sum, size) => sum + size, 0) / Math.max(1, sizes.length);
    }

    tick(index: number): void {
        this.now += TICK_MILLISECONDS;
        this.send({ type: "tick" });
        if (index % REPORT_EVERY_TICKS === 0) {
            this.#engines.forEach(engine => this.#report(engine));
        }
    }

    send(message: ResidencyMessage): void {
        for (const effect of this.#decision.handle(message, this.now)) {
            this.#perform(effect);
        }
    }

    #perform(effect: ResidencyEffect): void {
        match(effect)
            .with({ type: "read-record" }, ({ engine }) => {
                this.reads += 1;
                const stored = this.#records.get(engine);
                this.send({
                    type: "record-read",
                    engine,
                    record: stored?.record,
                    storeRevision: stored?.revision ?? 0,
                });
            })
            .with({ type: "write-record" }, ({ engine, record, expectedStoreRevision }) => {
                this.writes += 1;
                const storeRevision = expectedStoreRevision + 1;
                this.#records.set(engine, { record, revision: storeRevision });
                this.send({ type: "record-written", engine, writeIdentifier: record.writeIdentifier, storeRevision });
            })
            .with({ type: "read-report" }, ({ engine, readIdentifier }) => this.#report(engine, readIdentifier))
            .with({ type: "send-order" }, ({ engine, order }) => this.#executeOrder(engine, order))
            .with({ type: "publish-residency" }, ({ digest }) => {
                this.digestBytes = Math.max(this.digestBytes, JSON.stringify(digest).length);
            })
            .with({ type: "explain" }, () => undefined)
            .exhaustive();
    }

    #report(engine: string, readIdentifier?: string): void {
        const models = [...this.#loadedModels.get(engine) ?? []].map(([name, version]) => ({ name, version }));
        const report = {
            engine,
            incarnation: "a",
            leaving: false,
            running: 0,
            waiting: 0,
            role: "",
            models,
            adapters: [],
        };
        this.send({ type: "engine-reported", report, ...(readIdentifier === undefined ? {} : { readIdentifier }) });
    }

    #executeOrder(engine: string, order: EngineOrder): void {
        const loaded = this.#loadedModels.get(engine) ?? new Map<string, string>();
        this.#loadedModels.set(engine, loaded);
        if (order.kind === "load-model") {
            this.loads += 1;
            loaded.set(order.name, order.version ?? "");
        }
        else if (order.kind === "evict-model") {
            loaded.delete(order.name);
        }
        this.send({ type: "order-answered", engine, order, answer: { outcome: "done", incarnation: "a" } });
    }
}

/**
 * Measures the residency decision of one pool.
 *
 * @param engines Number of engines in the pool.
 * @param models Number of models in the pool.
 *
 * @example
 * ```ts
 * console.log(measureResidency(10, 9).storeWritesPerLoad);
 * ```
 */
export function measureResidency(engines: number, models: number): ResidencyFigures {
    const sample = sampleDeployment({ engines: 10, models: 1, zones: 3 });
    const template = sample.models[0];
    const pool = sample.pools[0];
    if (template === undefined || pool === undefined) {
        throw new Error("the sample deployment has no pool or no model");
    }
    const deployment: Deployment = {
        ...sample,
        pools: [{
            ...pool,
            engines: Array.from({ length: engines }, (_, index) => ({
                name: `engine-${index}`,
                url: `http://127.0.0.1:${10_000 + index}`,
                zone: `zone-${index % 3}`,
                accelerators: 4,
            })),
        }],
        models: Array.from({ length: models }, (_, index) => ({ ...template, name: `model-${index}` })),
    };
    const before = heapBytes();
    const driver = new PoolDriver(deployment);
    for (let index = 0; index < LOAD_ALL_TICKS; index += 1) {
        driver.tick(index);
    }
    const stateBytes = heapBytes() - before;
    const microsecondsPerTick = microsecondsPerCall(MEASURED_TICKS, index => driver.tick(index));
    return {
        engines,
        models,
        loads: driver.loads,
        storeWritesPerLoad: driver.writes / driver.loads,
        storeReadsPerLoad: driver.reads / driver.loads,
        recordBytes: driver.recordBytes,
        residencyDigestBytes: driver.digestBytes,
        processorMillisecondsPerSecond: microsecondsPerTick / TICK_MILLISECONDS,
        stateBytes,
    };
}
